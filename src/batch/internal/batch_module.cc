#include "batch/batch_module.h"

#include "batch/internal/batch_parts.h"
#include "batch/internal/exchange_messages.h"
#include "batch/internal/job_owner.h"
#include "batch/internal/work_puller.h"

namespace lentilhead::batch {

namespace {

constexpr std::chrono::milliseconds kOwnerTick{20};

}  // namespace

class BatchModule::State {
 public:
  explicit State(const Parts& given)
      : parts{given.settings, given.services, given.instance, given.instance + "/" + given.run,
              given.table,    given.objects,  given.writer,   given.directory,
              given.http,     given.rpc,      given.timers,   given.metrics},
        owner(this->parts),
        puller(this->parts) {}

  void OnOwnerTick() {
    // The results of the items in flight are delivered before the jobs are handed over.
    if (this->draining && this->puller.IsIdle()) {
      this->owner.Drain();
    }
    this->owner.OnTick();
  }

  bool draining = false;
  internal::BatchParts parts;
  internal::JobOwner owner;
  internal::WorkPuller puller;
  framework::TimerSubscription owner_tick;
  framework::TimerSubscription puller_tick;
};

BatchModule::BatchModule(const Parts& parts) : state(std::make_unique<State>(parts)) {}

BatchModule::~BatchModule() = default;

void BatchModule::RegisterProcedures(framework::JsonRpcServer& server) {
  server.Add(internal::kOfferProcedure, [this](const Json::Value& message) {
    this->state->puller.OnOffers(internal::ReadOfferMessage(message));
    return Json::Value(Json::objectValue);
  });
  server.Add(internal::kExchangeProcedure, [this](const Json::Value& message) {
    return internal::ToJson(this->state->owner.OnExchange(internal::ReadExchangeRequest(message)));
  });
}

void BatchModule::OnView(const fleet::FleetView& view, framework::MonotonicTime confirmed) {
  this->state->owner.OnView(view);
  this->state->puller.OnView(view, confirmed);
}

void BatchModule::TranslateModels(std::function<std::string(const std::string&)> translate) {
  this->state->parts.translate_model = std::move(translate);
}

void BatchModule::Start() {
  framework::TimerService& timers = this->state->parts.timers;
  this->state->owner_tick = timers.Every(kOwnerTick, [this] { this->state->OnOwnerTick(); });
  this->state->puller_tick = timers.Every(this->state->parts.settings.load_period,
                                          [this] { this->state->puller.OnTick(); });
}

void BatchModule::Stop() {
  this->state->owner_tick.Cancel();
  this->state->puller_tick.Cancel();
}

void BatchModule::Drain() {
  this->state->draining = true;
  this->state->puller.Drain();
}

void BatchModule::PreemptAll() { this->state->puller.PreemptAll(); }

bool BatchModule::IsIdle() const {
  return this->state->puller.IsIdle() && this->state->owner.IsIdle();
}

}  // namespace lentilhead::batch
