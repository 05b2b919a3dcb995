#include "gateway/caller_server.h"

#include <algorithm>

#include "gateway/internal/answers.h"
#include "gateway/internal/online_run.h"
#include "gateway/refusal_policy.h"
#include "gateway/shutdown_policy.h"
#include "net/backoff.h"
#include "net/framing.h"
#include "net/log_line.h"
#include "net/spawn.h"
#include "platform/request_codec.h"

namespace lentilhead::gateway {

namespace {

using net::asio::awaitable;
using net::http::status;
using std::chrono::milliseconds;

constexpr milliseconds kDefaultDeadline{30000};  // if the caller states no deadline
constexpr milliseconds kWriteTimeout{2000};
constexpr char kOverQuota[] = "over_quota";
constexpr char kNoMemory[] = "no_memory";
constexpr milliseconds kAcceptRetryDelay{20};  // after an error such as no free descriptor

net::SteadyTime DeadlineOf(const InferenceRequest& request, const Route& route,
                           net::SteadyTime arrival) {
  milliseconds span = request.deadline.value_or(kDefaultDeadline);
  if (route.timeout) {
    span = std::min(span, *route.timeout);
  }
  return arrival + span;
}

/// Tells whether a request was not read because it exceeds a limit of the configuration.
bool IsOverLimit(ReadProblem problem) {
  return problem == ReadProblem::kHeaderTooLarge || problem == ReadProblem::kBodyTooLarge;
}

}  // namespace

CallerServer::CallerServer(Gateway& gateway, JobHandler jobs, milliseconds longest_job_call,
                           std::function<bool(const InferenceRequest&)> is_job_call,
                           std::function<bool(const InferenceRequest&)> is_on_known_job)
    : gateway(gateway),
      jobs(std::move(jobs)),
      longest_job_call(longest_job_call),
      is_job_call(std::move(is_job_call)),
      is_on_known_job(std::move(is_on_known_job)) {}

awaitable<void> CallerServer::Accept(net::tcp::acceptor& acceptor) {
  while (acceptor.is_open()) {
    auto [error, socket] = co_await acceptor.async_accept(net::kAwaitWithError);
    if (!error) {
      auto session = std::make_shared<CallerSession>(std::move(socket), this->gateway.stopping,
                                                     &this->gateway.memory);
      net::Spawn(this->gateway.executor, "serve_caller", this->Serve(std::move(session)));
      continue;
    }
    if (error == net::asio::error::operation_aborted) {
      co_return;
    }
    net::LogLine("accept_failed").With("error", error.message());
    net::asio::steady_timer pause(this->gateway.executor, kAcceptRetryDelay);
    co_await pause.async_wait(net::kAwaitWithError);
  }
}

void CallerServer::CloseIdle() {
  for (const std::shared_ptr<CallerSession>& session : this->sessions) {
    session->CloseIfIdle(net::Now());
  }
}

void CallerServer::EndSlowReaders() {
  if (!this->gateway.memory.IsInForce()) {
    return;
  }
  const net::SteadyTime now = net::Now();
  std::map<net::MemoryBudget::Holder, CallerSession*> by_holder;
  for (const std::shared_ptr<CallerSession>& session : this->sessions) {
    session->RecordTaken(now);
    by_holder.emplace(session->Holder(), session.get());
  }
  while (const std::optional<net::SlowReader> reader = this->gateway.memory.NextToEnd(now)) {
    CallerSession& session = *by_holder.at(reader->holder);
    net::LogLine("slow_reader_ended")
        .With("request", session.RequestId())
        .With("caller", session.Caller().to_string())
        .With("cause", NameOf(reader->cause))
        .With("held_bytes", reader->held)
        .With("waited_ms", reader->waited.count())
        .With("held_in_all", this->gateway.memory.Held())
        .With("limit", this->gateway.memory.Limit());
    this->gateway.metrics
        .GetCounter("gateway_slow_readers_ended_total",
                    {{"cause", std::string(NameOf(reader->cause))}})
        .Add();
    session.EndSlowReader();
  }
}

void CallerServer::EndRequests() {
  for (const internal::OpenRequest& request : this->requests.All()) {
    request.cancel.Cancel(CancelCause::kNodeExit);
  }
}

void CallerServer::LogCutRequests() const {
  for (const internal::OpenRequest& request : this->requests.All()) {
    net::LogLine("request_cut")
        .With("request", request.id)
        .With("reason", "leaving")
        .With("ms", net::ToMilliseconds(net::Now() - request.arrival).count());
  }
}

awaitable<void> CallerServer::Serve(std::shared_ptr<CallerSession> session) {
  this->sessions.insert(session);
  try {
    co_await this->ServeRequests(session);
  } catch (...) {
    session->Abort();
    this->sessions.erase(session);
    throw;  // the spawner logs it
  }
  this->sessions.erase(session);
}

CallerLimits CallerServer::LimitsInForce() const {
  const std::shared_ptr<const ServingConfig>& config = this->gateway.routes.Config();
  return config ? config->limits : CallerLimits{};
}

awaitable<void> CallerServer::ServeRequests(std::shared_ptr<CallerSession> session) {
  while (session->IsOpen()) {
    std::variant<net::Request, ReadProblem> read =
        co_await session->ReadRequest([this] { return this->LimitsInForce(); });
    if (const auto* problem = std::get_if<ReadProblem>(&read)) {
      co_await this->AnswerProblem(*session, *problem);
      session->Abort();
      break;
    }
    net::Request message = std::move(std::get<net::Request>(read));
    co_await this->Answer(*session, std::move(message));
  }
}

awaitable<void> CallerServer::AnswerProblem(CallerSession& session, ReadProblem problem) {
  if (IsOverLimit(problem) && this->gateway.routes.Config() == nullptr) {
    const InferenceRequest unread;
    co_await this->RefuseNotReady(session, unread);  // a configuration may allow more
    co_return;
  }
  status code = status::bad_request;
  const char* reason = "malformed";
  switch (problem) {
    case ReadProblem::kClosed:
      co_return;
    case ReadProblem::kNoMemory:
      co_await this->RefuseForMemory(session);
      co_return;
    case ReadProblem::kMalformed:
      break;
    case ReadProblem::kHeaderTooLarge:
      code = status::request_header_fields_too_large;
      reason = "header_too_large";
      break;
    case ReadProblem::kBodyTooLarge:
      code = status::payload_too_large;
      reason = "body_too_large";
      break;
  }
  net::LogLine("request_rejected").With("reason", reason).With("status", static_cast<int>(code));
  this->gateway.metrics
      .GetCounter("gateway_requests_total", {{"outcome", "rejected"}, {"reason", reason}})
      .Add();
  net::Response response = MakeErrorResponse(code, reason);
  co_await session.Send(std::move(response), net::Now() + kWriteTimeout);
}

awaitable<void> CallerServer::RefuseForMemory(CallerSession& session) {
  const milliseconds retry_after = RefusalPolicy::RetryAfter(net::RandomFraction());
  net::LogLine("request_refused")
      .With("reason", kNoMemory)
      .With("caller", session.Caller().to_string())
      .With("held_in_all", this->gateway.memory.Held())
      .With("limit", this->gateway.memory.Limit())
      .With("retry_after_ms", retry_after.count());
  this->gateway.CountOutcome("refused", kNoMemory);
  co_await session.Send(MakeRefusalResponse(kNoMemory, retry_after), net::Now() + kWriteTimeout);
}

awaitable<void> CallerServer::Answer(CallerSession& session, net::Request message) {
  if (net::IsBodyAmbiguous(message)) {
    co_await this->AnswerProblem(session, ReadProblem::kMalformed);
    session.Abort();
    co_return;
  }
  CancelScope cancel;
  session.StartWatch(cancel);
  InferenceRequest request = platform::DecodeRequest(std::move(message));
  session.SetRequestId(request.id);
  const internal::OpenRequests::Entry entry(this->requests, {request.id, net::Now(), cancel});
  std::exception_ptr failure;
  try {
    co_await this->Dispatch(session, cancel, std::move(request));
  } catch (...) {
    failure = std::current_exception();
  }
  if (failure && !session.HasBegunAnswer()) {
    co_await session.Send(MakeErrorResponse(status::bad_gateway, "internal"),
                          net::Now() + kWriteTimeout);
  }
  session.StopWatch();
  if (failure) {
    std::rethrow_exception(failure);
  }
}

awaitable<void> CallerServer::RefuseUnrouted(CallerSession& session,
                                             const InferenceRequest& request, const char* reason,
                                             milliseconds retry_after) {
  net::LogLine("request_refused")
      .With("request", request.id)
      .With("reason", reason)
      .With("config", this->gateway.routes.Version())
      .With("endpoints_loaded", this->gateway.endpoints_loaded)
      .With("evidence_loaded", this->gateway.evidence_loaded);
  this->gateway.CountOutcome("refused", reason);
  net::Response response = MakeRefusalResponse(reason, retry_after);
  co_await session.Send(std::move(response), net::Now() + kWriteTimeout);
}

awaitable<void> CallerServer::RefuseNotReady(CallerSession& session,
                                             const InferenceRequest& request) {
  const std::shared_ptr<const ServingConfig>& config = this->gateway.routes.Config();
  const bool has_customers = config != nullptr && !config->customers.IsEmpty();
  co_await this->RefuseUnrouted(
      session, request, "not_ready",
      RefusalPolicy::RetryAfterNotReady(has_customers, net::RandomFraction()));
}

bool CallerServer::MustAuthenticate(const InferenceRequest& request, const RoutedRequest& routed) {
  if (routed.config->customers.IsEmpty()) {
    return false;
  }
  const Route* route = routed.route;
  if (route == nullptr) {  // a call on a job, which no route names
    route = this->gateway.routes.FindBatchRoute(request.host);
  }
  return route == nullptr || !route->anonymous;
}

awaitable<void> CallerServer::RejectUnknownKey(CallerSession& session,
                                               const InferenceRequest& request,
                                               const ServingConfig& config) {
  const char* reason = request.api_key.empty() ? "no_key" : "unknown_key";
  net::LogLine("request_rejected")
      .With("request", request.id)
      .With("reason", reason)
      .With("config", config.version);
  this->gateway.metrics
      .GetCounter("gateway_requests_total", {{"outcome", "rejected"}, {"reason", reason}})
      .Add();
  net::Response response = MakeErrorResponse(status::unauthorized, reason);
  co_await session.Send(std::move(response), net::Now() + kWriteTimeout);
}

awaitable<bool> CallerServer::AdmitByQuota(CallerSession& session, const InferenceRequest& request,
                                           const RoutedRequest& routed) {
  const customers::Customer& customer = *routed.customer;
  const customers::QuotaDecision decision = co_await this->gateway.quotas->Admit(customer);
  if (decision.is_admitted) {
    co_return true;
  }
  net::LogLine("request_refused")
      .With("request", request.id)
      .With("reason", kOverQuota)
      .With("customer", customer.name)
      .With("rate", decision.demand)
      .With("quota", customer.requests_per_second)
      .With("burst", customer.burst)
      .With("decided_by", customers::NameOf(decision.decider))
      .With("retry_after_ms", decision.retry_after.count())
      .With("ms", net::ToMilliseconds(net::Now() - routed.arrival).count());
  this->gateway.metrics
      .GetCounter("gateway_requests_total", {{"outcome", "refused"}, {"reason", kOverQuota}})
      .Add();
  net::Response response =
      MakeRefusalResponse(kOverQuota, decision.retry_after, status::too_many_requests);
  co_await session.Send(std::move(response), net::Now() + kWriteTimeout);
  co_return false;
}

bool CallerServer::AcceptsWhileLeaving(const InferenceRequest& request,
                                       const RoutedRequest& routed) {
  RequestSpan span{net::ToMilliseconds(routed.deadline - routed.arrival), std::nullopt};
  if (routed.route != nullptr) {
    span.usual = this->gateway.durations.Average(routed.route->Key());
  }
  ShutdownTimes& shutdown = this->gateway.shutdown;
  const bool accepts = ShutdownPolicy::Accepts(shutdown, span, routed.arrival);
  if (accepts && ShutdownPolicy::EndsBeforeExit(shutdown, span, routed.arrival)) {
    shutdown.promised_until = std::max(shutdown.promised_until, routed.deadline);
  }
  net::LogLine("request_while_leaving", net::LogImportance::kRoutine)
      .With("request", request.id)
      .With("accepted", accepts)
      .With("left_ms", net::ToMilliseconds(shutdown.exits_at - routed.arrival).count())
      .With("longest_ms", span.longest.count())
      .With("usual_ms", span.usual ? span.usual->count() : -1);
  return accepts;
}

bool CallerServer::IsOnJob(const InferenceRequest& request, const Route* route) const {
  if (!this->is_job_call(request)) {
    return false;
  }
  // A job outlives its route, so that its host may have no batch route any more.
  return route == nullptr || this->gateway.routes.HasBatchRoute(request.host) ||
         this->is_on_known_job(request);
}

awaitable<void> CallerServer::Dispatch(CallerSession& session, CancelScope& cancel,
                                       InferenceRequest request) {
  RoutedRequest routed;
  routed.arrival = net::Now();
  routed.config = this->gateway.routes.Config();
  if (!this->gateway.CanServe()) {
    co_await this->RefuseNotReady(session, request);
    co_return;
  }
  routed.route = this->gateway.routes.Match(request.host, request.path);
  const bool on_job = this->IsOnJob(request, routed.route);
  if (on_job) {
    routed.route = nullptr;
  } else if (routed.route == nullptr) {
    net::LogLine("request_rejected")
        .With("request", request.id)
        .With("reason", "no_route")
        .With("host", request.host)
        .With("path", request.path)
        .With("config", routed.config->version);
    net::Response response = MakeErrorResponse(status::not_found, "no_route");
    co_await session.Send(std::move(response), net::Now() + kWriteTimeout);
    co_return;
  }
  if (this->MustAuthenticate(request, routed)) {
    routed.customer = routed.config->customers.FindByApiKey(request.api_key);
    if (routed.customer == nullptr) {
      co_await this->RejectUnknownKey(session, request, *routed.config);
      co_return;
    }
  }
  const bool is_job_request = on_job || routed.route->kind == RouteKind::kBatch;
  routed.deadline = is_job_request ? routed.arrival + this->longest_job_call
                                   : DeadlineOf(request, *routed.route, routed.arrival);
  if (this->gateway.stopping && !this->AcceptsWhileLeaving(request, routed)) {
    co_await this->RefuseUnrouted(session, request, "leaving", RefusalPolicy::kOtherNodeRetryAfter);
    co_return;
  }
  if (is_job_request) {
    net::Response response = co_await this->jobs(std::move(request), std::move(routed), cancel);
    co_await session.Send(std::move(response), net::Now() + kWriteTimeout);
    co_return;
  }
  const customers::Customer* limited =
      routed.customer != nullptr && routed.customer->HasQuota() && this->gateway.quotas != nullptr
          ? routed.customer
          : nullptr;
  if (limited != nullptr) {
    const bool is_admitted = co_await this->AdmitByQuota(session, request, routed);
    if (!is_admitted) {
      co_return;
    }
  }
  const std::shared_ptr<const ServingConfig> config = routed.config;  // owns the customer
  routed.service = RouteTable::PickService(*routed.route, net::RandomFraction());
  routed.request = std::move(request);
  internal::OnlineRun run(this->gateway, session, cancel, std::move(routed));
  co_await run.Run();
  if (limited != nullptr && !run.MayHaveRun()) {
    this->gateway.quotas->GiveBack(*limited);
  }
}

}  // namespace lentilhead::gateway
