#include "jobs/job_api.h"

#include <algorithm>

#include "gateway/internal/answers.h"
#include "jobs/internal/unix_time.h"
#include "net/log_line.h"
#include "platform/job_codec.h"

namespace lentilhead::jobs {

namespace {

using net::asio::awaitable;
using net::http::status;
using std::chrono::milliseconds;

// Shorter than the time that submitters wait for an answer.
constexpr milliseconds kSubmitTimeout = JobApi::kLongestCall;
constexpr milliseconds kReadTimeout{1200};
constexpr milliseconds kEndTimeout = JobApi::kLongestCall;
constexpr milliseconds kRetryAfter{500};
// With the position appended, a row's key stays within the limit of the store.
constexpr std::size_t kMaxIdBytes = 120;

bool IsValidId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

net::Response StoreUnavailable() {
  return gateway::MakeRefusalResponse("store_unavailable", kRetryAfter);
}

/// Tells whether a job belongs to the customer that a call comes from.
bool BelongsTo(const Claim& claim, const std::optional<std::string>& requester) {
  return !requester || claim.customer == *requester;
}

/// Returns the job that a call names; empty if it names none.
std::string JobOf(const JobCall& call) {
  return std::visit(
      [](const auto& known) {
        if constexpr (std::is_same_v<std::decay_t<decltype(known)>, UnknownCall>) {
          return std::string();
        } else {
          return known.job;
        }
      },
      call);
}

net::Response JobNotFound() { return gateway::MakeErrorResponse(status::not_found, "no_such_job"); }

net::Response MakeResponse(status code, const char* type, std::string body) {
  net::Response response(code, 11);
  response.set(net::http::field::content_type, type);
  response.body() = std::move(body);
  return response;
}

net::Response JsonResponse(status code, std::string body) {
  return MakeResponse(code, "application/json", std::move(body));
}

}  // namespace

JobApi::JobApi(gateway::Gateway& gateway, JobStore& store, JobService& service, std::string owner)
    : gateway(gateway),
      store(store),
      service(service),
      acceptance(store, service),
      owner(std::move(owner)) {}

awaitable<net::Response> JobApi::Handle(gateway::InferenceRequest request,
                                        gateway::RoutedRequest routed) {
  if (routed.route != nullptr) {
    if (request.message.method() != net::http::verb::post) {
      co_return gateway::MakeErrorResponse(status::method_not_allowed, "post_expected");
    }
    co_return co_await this->Submit(std::move(request), std::move(routed));
  }
  Requester requester;
  if (!routed.config->customers.IsEmpty()) {
    requester = routed.customer == nullptr ? "" : routed.customer->name;
  }
  const JobCall call = platform::DecodeJobCall(request);
  if (const auto* read = std::get_if<ReadResultsCall>(&call)) {
    co_return co_await this->Read(*read, std::move(requester));
  }
  if (const auto* item = std::get_if<ReadItemCall>(&call)) {
    co_return co_await this->ReadItem(*item, std::move(requester));
  }
  if (const auto* end = std::get_if<EndJobCall>(&call)) {
    co_return co_await this->End(*end, std::move(requester));
  }
  co_return gateway::MakeErrorResponse(status::method_not_allowed, "no_such_call");
}

bool JobApi::IsOnKnownJob(const gateway::InferenceRequest& request) const {
  const Claim* claim = this->service.FindClaim(JobOf(platform::DecodeJobCall(request)));
  return claim != nullptr && claim->host == request.host;
}

awaitable<net::Response> JobApi::Submit(gateway::InferenceRequest request,
                                        gateway::RoutedRequest routed) {
  platform::SubmissionOutcome decoded = platform::DecodeSubmission(request.message.body());
  if (const auto* error = std::get_if<platform::DecodeError>(&decoded)) {
    net::LogLine("job_rejected")
        .With("job", request.id)
        .With("field", error->field)
        .With("reason", error->reason);
    co_return gateway::MakeErrorResponse(status::bad_request, "malformed_job");
  }
  if (!IsValidId(request.id)) {
    co_return gateway::MakeErrorResponse(status::bad_request, "malformed_job_id");
  }
  JobSpec spec = std::move(std::get<JobSpec>(decoded));
  Claim claim;
  claim.job = request.id;
  const bool runs_here =
      !this->gateway.stopping && (routed.route->services.empty() ||
                                  this->service.RunsNewJob(routed.route->services.front().service));
  claim.owner = runs_here ? this->owner : "";
  claim.host = request.host;
  claim.total = spec.items.size();
  claim.accepted_unix_ms = internal::UnixTimeMs();
  claim.results_due_ms = routed.route->results_due.count();
  claim.give_up_after_ms = routed.route->give_up_after.count();
  claim.max_attempts = routed.route->max_attempts;
  claim.route = routed.route->Key();
  claim.config_version = routed.config->version;
  claim.customer = routed.customer == nullptr ? "" : routed.customer->name;
  for (const ItemSpec& item : spec.items) {
    claim.waiting_tokens += item.tokens;
  }
  const JobAcceptance::Outcome outcome = co_await this->acceptance.Accept(
      claim, std::move(request.message.body()), routed.route->max_waiting_tokens,
      net::Now() + kSubmitTimeout);
  if (const auto* error = std::get_if<rowstore::StoreError>(&outcome)) {
    co_return this->AnswerStoreError(claim, *error, routed.arrival);
  }
  if (const auto* over = std::get_if<OverTokenLimit>(&outcome)) {
    co_return this->AnswerOverLimit(claim, *routed.route, *over);
  }
  const auto& accepted = std::get<JobAccepted>(outcome);
  if (accepted.claim.customer != claim.customer) {
    net::LogLine("job_rejected").With("job", request.id).With("reason", "id_of_another_customer");
    co_return gateway::MakeErrorResponse(status::conflict, "job_id_in_use");
  }
  this->gateway.metrics.GetCounter("job_submissions_total", {{"outcome", "accepted"}}).Add();
  net::LogLine("job_accepted")
      .With("job", claim.job)
      .With("items", accepted.claim.total)
      .With("tokens", claim.waiting_tokens)
      .With("claim", accepted.claim.version)
      .With("owner", accepted.claim.owner)
      .With("ms", net::ToMilliseconds(net::Now() - routed.arrival).count());
  if (accepted.is_first && !accepted.claim.owner.empty()) {
    this->service.StartJob(accepted.claim, std::move(spec));
  }
  co_return JsonResponse(status::accepted, "{}");
}

net::Response JobApi::AnswerStoreError(const Claim& claim, rowstore::StoreError error,
                                       net::SteadyTime arrival) {
  this->gateway.metrics.GetCounter("job_submissions_total", {{"outcome", "store_error"}}).Add();
  net::LogLine("job_not_accepted")
      .With("job", claim.job)
      .With("reason", rowstore::NameOf(error))
      .With("ms", net::ToMilliseconds(net::Now() - arrival).count());
  // If the answer was lost, the job may be stored, so the submission must not be refused.
  return error == rowstore::StoreError::kNotApplied
             ? StoreUnavailable()
             : gateway::MakeErrorResponse(status::gateway_timeout, "store_unknown");
}

net::Response JobApi::AnswerOverLimit(const Claim& claim, const gateway::Route& route,
                                      const OverTokenLimit& over) {
  const milliseconds wait = this->service.RetryAfter(claim.route, over.excess);
  this->gateway.metrics.GetCounter("job_submissions_total", {{"outcome", "over_token_limit"}})
      .Add();
  net::LogLine("job_not_accepted")
      .With("job", claim.job)
      .With("reason", "over_token_limit")
      .With("route", route.name)
      .With("tokens", claim.waiting_tokens)
      .With("waiting", over.waiting)
      .With("limit", route.max_waiting_tokens)
      .With("config", this->gateway.routes.Version())
      .With("retry_after_ms", wait.count());
  net::Response response = gateway::MakeRefusalResponse("over_token_limit", wait);
  response.result(status::too_many_requests);
  return response;
}

awaitable<ClaimOutcome> JobApi::FindClaim(std::string job, Requester requester,
                                          net::SteadyTime deadline) {
  if (!IsValidId(job)) {
    co_return NoSuchJob{};
  }
  const Claim* cached = this->service.FindClaim(job);
  if (cached != nullptr && cached->state != JobState::kSubmitted && BelongsTo(*cached, requester)) {
    co_return *cached;
  }
  ClaimOutcome outcome = co_await this->store.ReadClaim(job, deadline);
  if (const auto* claim = std::get_if<Claim>(&outcome)) {
    this->service.UpdateClaim(*claim);
    if (!BelongsTo(*claim, requester)) {
      co_return NoSuchJob{};
    }
    if (claim->state == JobState::kSubmitted) {
      co_return rowstore::StoreError::kNotApplied;  // whether the job is accepted is not decided
                                                    // yet
    }
  }
  co_return outcome;
}

awaitable<net::Response> JobApi::Read(ReadResultsCall call, Requester requester) {
  const net::SteadyTime deadline = net::Now() + kReadTimeout;
  ClaimOutcome claim = co_await this->FindClaim(call.job, std::move(requester), deadline);
  if (std::holds_alternative<NoSuchJob>(claim)) {
    co_return JobNotFound();
  }
  if (std::holds_alternative<rowstore::StoreError>(claim)) {
    co_return StoreUnavailable();
  }
  std::optional<std::vector<ItemResult>> results =
      co_await this->store.ReadResults(call.job, call.from, deadline);
  if (!results) {
    co_return StoreUnavailable();
  }
  const std::uint64_t total = std::get<Claim>(claim).total;
  co_return JsonResponse(status::ok,
                         platform::EncodeResultPage(total, call.from + results->size(), *results));
}

awaitable<net::Response> JobApi::ReadItem(ReadItemCall call, Requester requester) {
  const net::SteadyTime deadline = net::Now() + kReadTimeout;
  ClaimOutcome outcome = co_await this->FindClaim(call.job, std::move(requester), deadline);
  if (std::holds_alternative<NoSuchJob>(outcome)) {
    co_return JobNotFound();
  }
  if (std::holds_alternative<rowstore::StoreError>(outcome)) {
    co_return StoreUnavailable();
  }
  const Claim claim = std::get<Claim>(outcome);
  std::optional<JobSpec> spec = co_await this->store.ReadSpec(claim, deadline);
  if (!spec) {
    co_return StoreUnavailable();
  }
  const auto item = std::find_if(spec->items.begin(), spec->items.end(),
                                 [&](const ItemSpec& other) { return other.id == call.item; });
  if (item == spec->items.end()) {
    co_return gateway::MakeErrorResponse(status::not_found, "no_such_item");
  }
  co_return MakeResponse(status::ok, "application/octet-stream", item->body);
}

awaitable<net::Response> JobApi::End(EndJobCall call, Requester requester) {
  const net::SteadyTime deadline = net::Now() + kEndTimeout;
  while (true) {
    ClaimOutcome outcome = NoSuchJob{};
    if (IsValidId(call.job)) {
      outcome = co_await this->store.ReadClaim(call.job, deadline);
    }
    if (std::holds_alternative<NoSuchJob>(outcome)) {
      co_return JobNotFound();
    }
    if (std::holds_alternative<rowstore::StoreError>(outcome)) {
      co_return StoreUnavailable();
    }
    Claim claim = std::get<Claim>(outcome);
    if (!BelongsTo(claim, requester)) {
      co_return JobNotFound();
    }
    if (claim.state == JobState::kOpen || claim.state == JobState::kSubmitted) {
      claim.state = JobState::kEnded;
      outcome = co_await this->store.ReplaceClaim(claim, {}, deadline);
    }
    const auto* current = std::get_if<Claim>(&outcome);
    const bool has_ended = current != nullptr && current->state != JobState::kOpen &&
                           current->state != JobState::kSubmitted;
    if (has_ended) {
      this->service.UpdateClaim(*current);
      net::LogLine("job_ended").With("job", call.job).With("claim", current->version);
      co_return JsonResponse(status::ok, "{}");
    }
    if (current == nullptr || net::Now() >= deadline) {
      co_return gateway::MakeErrorResponse(status::gateway_timeout, "store_unknown");
    }
  }
}

}  // namespace lentilhead::jobs
