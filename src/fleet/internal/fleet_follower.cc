#include "fleet/fleet_follower.h"

#include <optional>
#include <utility>
#include <vector>

#include "fleet/internal/fleet_codec.h"
#include "fleet/internal/json_fields.h"
#include "framework/log_event.h"
#include "sheet/sheet_parser.h"

namespace lentilhead::fleet {

using internal::CountField;
using internal::ValueField;

class FleetFollower::State {
 public:
  State(const FleetSettings& settings, std::string program, framework::HttpClient& http,
        framework::TimerService& timers, sheet::SheetInForce& sheet)
      : settings(settings),
        program(std::move(program)),
        rpc(http, settings.secret),
        timers(timers),
        sheet(sheet) {
    this->view.self = settings.name;
    this->timer = timers.Every(settings.follow_period, [this] { this->RequestView(); });
    this->RequestView();
  }

  [[nodiscard]] const FleetView& View() const { return this->view; }
  [[nodiscard]] const std::set<std::string>& DrainedEndpoints() const {
    return this->drains.endpoints;
  }
  [[nodiscard]] std::optional<framework::MonotonicTime> LastConfirmed() const {
    return this->last_confirmed;
  }

  void OnChange(std::function<void()> handler) { this->handlers.push_back(std::move(handler)); }

 private:
  void RequestView() {
    if (this->request_in_flight) {
      return;
    }
    this->request_in_flight = true;
    Json::Value message(Json::objectValue);
    message["program"] = this->program;
    message["epoch"] = this->epoch;
    message["version"] = this->version;
    message["sheet"] = this->sheet.CurrentRevision();
    message["drains"] = this->drains.revision;
    const auto started = this->timers.Now();
    this->call =
        this->rpc.Call("http://" + this->settings.peer_address + "/rpc", "fleet.view", message,
                       this->settings.heartbeat_timeout, [this, started](const auto& reply) {
                         this->request_in_flight = false;
                         if (reply && reply.Value().isMember("epoch")) {
                           this->last_confirmed = started;
                           this->ApplyView(reply.Value());
                         }
                       });
  }

  void ApplyView(const Json::Value& answer) {
    this->ApplySheet(ValueField(answer, "sheet"));
    bool changed = false;
    if (auto received = internal::DrainsFromJson(ValueField(answer, "drains"))) {
      changed = received->revision > this->drains.revision;
      this->drains = changed ? *std::move(received) : this->drains;
    }
    if (answer.isMember("instances")) {
      this->view.instances = internal::InstancesFromJson(answer["instances"]);
      this->epoch = CountField(answer, "epoch");
      this->version = CountField(answer, "version");
      changed = true;
    }
    for (std::size_t index = 0; changed && index < this->handlers.size(); ++index) {
      this->handlers[index]();
    }
  }

  void ApplySheet(const Json::Value& answer) {
    const std::uint64_t revision = CountField(answer, "revision");
    if (revision <= this->sheet.CurrentRevision()) {
      return;
    }
    auto accepted = std::make_shared<sheet::AcceptedSheet>();
    accepted->revision = revision;
    accepted->csv = internal::TextField(answer, "csv");
    auto parsed = sheet::ParseSheet(accepted->csv);
    if (!parsed) {
      framework::LogEvent(framework::Severity::kError, "followed_sheet_unreadable")
          .With("revision", revision);
      return;
    }
    accepted->sheet = std::move(parsed.value());
    this->sheet.Offer(std::move(accepted));
  }

  FleetSettings settings;
  std::string program;
  framework::JsonRpcClient rpc;
  framework::TimerService& timers;
  sheet::SheetInForce& sheet;
  FleetView view;
  DrainState drains;
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  bool request_in_flight = false;
  std::optional<framework::MonotonicTime> last_confirmed;
  std::vector<std::function<void()>> handlers;
  framework::TimerSubscription timer;
  framework::HttpCall call;
};

FleetFollower::FleetFollower(const FleetSettings& settings, std::string program,
                             framework::HttpClient& http, framework::TimerService& timers,
                             sheet::SheetInForce& sheet)
    : state(std::make_shared<State>(settings, std::move(program), http, timers, sheet)) {}

FleetFollower::~FleetFollower() = default;

const FleetView& FleetFollower::View() const { return this->state->View(); }

const std::set<std::string>& FleetFollower::DrainedEndpoints() const {
  return this->state->DrainedEndpoints();
}

std::optional<framework::MonotonicTime> FleetFollower::LastConfirmed() const {
  return this->state->LastConfirmed();
}

void FleetFollower::OnChange(std::function<void()> handler) {
  this->state->OnChange(std::move(handler));
}

}  // namespace lentilhead::fleet
