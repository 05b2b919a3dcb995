#include "online/internal/request_run.h"

#include <algorithm>
#include <utility>

#include "endpoint/endpoint_request.h"
#include "framework/hash.h"

namespace lentilhead::online::internal {

namespace {

using std::chrono::milliseconds;

constexpr const char* kEventStream = "text/event-stream";
constexpr const char* kForwardedHeaders[] = {"content-type",  "location",      "etag",
                                             "cache-control", "last-modified", "retry-after"};

AnswerHead ReadHead(int attempt, const framework::HttpResponseHead& head) {
  AnswerHead answer{attempt, head.status, false, {}};
  for (const char* name : kForwardedHeaders) {
    auto value = head.Header(name);
    if (value) {
      answer.event_stream = answer.event_stream || value->starts_with(kEventStream);
      answer.headers.emplace_back(name, *std::move(value));
    }
  }
  return answer;
}

AnswerEnd ReadEnd(int attempt, const std::optional<framework::HttpFailure>& failure) {
  if (!failure) {
    return {attempt, std::nullopt};
  }
  const bool timed_out = failure->kind == framework::HttpFailureKind::kTimeout;
  return {attempt, AttemptFailure{failure->request_started, timed_out}};
}

}  // namespace

struct RequestRun::Visitor {
  RequestRun& run;

  void operator()(const SendAttempt& send) const { this->run.Send(send); }
  void operator()(const CancelAttempt& /*cancel*/) const { this->run.call.Cancel(); }
  void operator()(const ReportAttempt& report) const { this->run.Report(report); }
  void operator()(const WaitBackoff& wait) const { this->run.Wait(wait); }
  void operator()(const FirstByte& /*first*/) const {
    this->run.resources.directory.OnFirstByte(this->run.endpoint,
                                              this->run.resources.timers.Now() - this->run.sent_at);
  }
  void operator()(const LateBytes& late) const {
    this->run.resources.metrics.late_bytes.Add(late.size);
  }
  template <class Answer>
  void operator()(const Answer& /*answer*/) const {}
};

RequestRun::RequestRun(WorkerResources& resources, OutboundRequest request,
                       const AttemptPolicy& policy, AnswerHandler on_answer,
                       std::function<void()> on_ended)
    : resources(resources),
      request(std::move(request)),
      deadline(policy.deadline),
      started_at(resources.timers.Now()),
      machine(policy, resources.budget, policy.resumable ? this->request.body : std::string(),
              framework::Hash(this->request.request_id)),
      on_answer(std::move(on_answer)),
      on_ended(std::move(on_ended)) {}

RequestRun::~RequestRun() {
  if (this->in_flight) {
    this->resources.directory.OnAttemptEnded(this->endpoint,
                                             endpoint::AttemptEnd::kCancelledByCaller);
  }
}

void RequestRun::Start() {
  const framework::MonotonicTime now = this->resources.timers.Now();
  this->deadline_timer = this->resources.timers.After(this->deadline - now,
                                                      [this] { this->Handle(DeadlineReached{}); });
  this->Apply(this->machine.Start(now));
}

void RequestRun::Interrupt(const AttemptEvent& event) { this->Handle(event); }

void RequestRun::Handle(const AttemptEvent& event) {
  this->Apply(this->machine.Handle(event, this->resources.timers.Now()));
}

void RequestRun::Apply(AttemptEffects effects) {
  const std::shared_ptr<RequestRun> keep_alive = this->shared_from_this();
  for (AttemptEffect& effect : effects) {
    std::visit(Visitor{*this}, effect);
    if (std::holds_alternative<StartStream>(effect) ||
        std::holds_alternative<WholeAnswer>(effect)) {
      this->RecordFirstByte();
    }
    this->on_answer(effect);
  }
  if (!this->machine.Ended() || !this->on_ended) {
    return;
  }
  this->deadline_timer.Cancel();
  this->backoff_timer.Cancel();
  const auto callback = std::exchange(this->on_ended, nullptr);
  callback();
}

void RequestRun::Send(const SendAttempt& send) {
  std::string address;
  if (!this->ChooseEndpoint(&address)) {
    this->Handle(NoEndpoint{send.attempt});
    return;
  }
  this->in_flight = true;
  this->sent_at = this->resources.timers.Now();
  this->request.route.excluded.insert(this->endpoint);
  this->resources.directory.OnAttemptStarted(this->endpoint);
  const std::string& body = send.resume_body.empty() ? this->request.body : send.resume_body;
  this->call =
      this->resources.http.Stream(this->Build(address, body), this->Handlers(send.attempt));
}

bool RequestRun::ChooseEndpoint(std::string* address) {
  endpoint::RouteRequest& route = this->request.route;
  auto chosen = this->resources.directory.Choose(route);
  if (!chosen && !route.version.empty()) {
    // During a rollout, endpoints of the previous version still serve the model.
    endpoint::RouteRequest any_version = route;
    any_version.version.clear();
    chosen = this->resources.directory.Choose(any_version);
  }
  if (!chosen && !route.excluded.empty()) {
    route.excluded.clear();
    chosen = this->resources.directory.Choose(route);
  }
  if (!chosen || !this->resources.directory.CanSend(chosen->name)) {
    return false;
  }
  this->endpoint = chosen->name;
  *address = chosen->address;
  return true;
}

framework::HttpRequest RequestRun::Build(const std::string& address, const std::string& body) {
  const auto remaining =
      std::max(milliseconds(1),
               std::chrono::ceil<milliseconds>(this->deadline - this->resources.timers.Now()));
  framework::HttpRequest built = endpoint::RequestTo(address, this->request.path);
  built.method = this->request.method;
  built.headers = this->request.headers;
  built.headers.emplace_back("X-Request-Id", this->request.request_id);
  built.headers.emplace_back("X-Request-Class", "online");
  built.headers.emplace_back("X-Request-Timeout-Ms", std::to_string(remaining.count()));
  built.content_type = this->request.content_type;
  built.body = body;
  built.timeout = this->request.head_timeout;
  built.idle_timeout = this->request.data_timeout;
  return built;
}

framework::HttpStreamHandlers RequestRun::Handlers(int attempt) {
  // The handlers hold references to this object, which the call releases when it ends or is
  // cancelled.
  framework::HttpStreamHandlers handlers;
  const std::shared_ptr<RequestRun> self = this->shared_from_this();
  handlers.on_head = [self, attempt](const framework::HttpResponseHead& head) {
    self->Handle(ReadHead(attempt, head));
  };
  handlers.on_data = [self, attempt](std::string_view bytes) {
    self->Handle(AnswerData{attempt, bytes});
  };
  handlers.on_end = [self, attempt](const std::optional<framework::HttpFailure>& failure) {
    self->Handle(ReadEnd(attempt, failure));
  };
  return handlers;
}

void RequestRun::Report(const ReportAttempt& report) {
  if (!std::exchange(this->in_flight, false)) {
    return;
  }
  this->resources.directory.OnAttemptEnded(this->endpoint, report.end);
}

void RequestRun::Wait(const WaitBackoff& wait) {
  this->resources.metrics.CountRetry(wait.reason);
  this->backoff_timer =
      this->resources.timers.After(wait.delay, [this] { this->Handle(BackoffElapsed{}); });
}

void RequestRun::RecordFirstByte() {
  this->resources.metrics.RecordFirstByte(this->request.route.service,
                                          this->resources.timers.Now() - this->started_at);
}

}  // namespace lentilhead::online::internal
