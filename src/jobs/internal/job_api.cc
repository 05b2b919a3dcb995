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

constexpr milliseconds kSubmitLimit{2500};  // below what submitters wait for an answer
constexpr milliseconds kReadLimit{1200};
constexpr milliseconds kEndLimit{2500};
constexpr milliseconds kReturnAfter{500};
constexpr std::size_t kIdBytes = 120;  // with the position it stays below the store's key limit

bool IsProperId(const std::string& id) {
  return !id.empty() && id.size() <= kIdBytes &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

net::Response Unavailable() {
  return gateway::MakeRefusalResponse("store_unavailable", kReturnAfter);
}

net::Response NoJob() { return gateway::MakeErrorResponse(status::not_found, "no_such_job"); }

net::Response Content(status code, const char* type, std::string body) {
  net::Response response(code, 11);
  response.set(net::http::field::content_type, type);
  response.body() = std::move(body);
  return response;
}

net::Response Json(status code, std::string body) {
  return Content(code, "application/json", std::move(body));
}

}  // namespace

JobApi::JobApi(gateway::Gateway& gateway, JobStore& store, JobService& service, std::string owner)
    : gateway(gateway), store(store), service(service), owner(std::move(owner)) {}

awaitable<net::Response> JobApi::Handle(gateway::InferenceRequest request,
                                        gateway::RoutedRequest facts) {
  if (facts.route != nullptr) {
    if (request.message.method() != net::http::verb::post) {
      co_return gateway::MakeErrorResponse(status::method_not_allowed, "post_expected");
    }
    co_return co_await this->Submit(std::move(request), std::move(facts));
  }
  const JobCall call = platform::DecodeJobCall(request);
  if (const auto* read = std::get_if<ReadResultsCall>(&call)) {
    co_return co_await this->Read(*read);
  }
  if (const auto* item = std::get_if<ReadItemCall>(&call)) {
    co_return co_await this->ReadItem(*item);
  }
  if (const auto* end = std::get_if<EndJobCall>(&call)) {
    co_return co_await this->End(*end);
  }
  co_return gateway::MakeErrorResponse(status::method_not_allowed, "no_such_call");
}

awaitable<net::Response> JobApi::Submit(gateway::InferenceRequest request,
                                        gateway::RoutedRequest facts) {
  platform::SubmissionOutcome decoded = platform::DecodeSubmission(request.message.body());
  if (const auto* error = std::get_if<platform::DecodeError>(&decoded)) {
    net::LogLine("job_rejected")
        .With("job", request.id)
        .With("field", error->field)
        .With("reason", error->reason);
    co_return gateway::MakeErrorResponse(status::bad_request, "malformed_job");
  }
  if (!IsProperId(request.id)) {
    co_return gateway::MakeErrorResponse(status::bad_request, "malformed_job_id");
  }
  JobSpec spec = std::move(std::get<JobSpec>(decoded));
  Claim claim;
  claim.job = request.id;
  claim.owner = this->gateway.stopping ? "" : this->owner;
  claim.host = request.host;
  claim.total = spec.items.size();
  claim.accepted_unix_ms = internal::UnixNow();
  claim.results_due_ms = facts.route->results_due.count();
  claim.give_up_after_ms = facts.route->give_up_after.count();
  claim.max_attempts = facts.route->max_attempts;
  CreateOutcome created = co_await this->store.Create(claim, std::move(request.message.body()),
                                                      net::Now() + kSubmitLimit);
  const ClaimOutcome outcome = std::move(created.claim);
  if (const auto* error = std::get_if<rowstore::StoreError>(&outcome)) {
    net::LogLine("job_not_accepted")
        .With("job", claim.job)
        .With("reason", rowstore::NameOf(*error))
        .With("ms", net::ToMilliseconds(net::Now() - facts.arrival).count());
    // An answer that was lost may stand for a job that is stored: that is no refusal.
    const bool nothing_done = *error == rowstore::StoreError::kNothingDone;
    co_return nothing_done ? Unavailable()
                           : gateway::MakeErrorResponse(status::gateway_timeout, "store_unknown");
  }
  if (std::holds_alternative<NoSuchJob>(outcome)) {
    co_return gateway::MakeErrorResponse(status::gateway_timeout, "store_unknown");
  }
  const Claim accepted = std::get<Claim>(outcome);
  net::LogLine("job_accepted")
      .With("job", claim.job)
      .With("items", accepted.total)
      .With("claim", accepted.version)
      .With("owner", accepted.owner)
      .With("ms", net::ToMilliseconds(net::Now() - facts.arrival).count());
  if (created.is_new && !accepted.owner.empty()) {
    this->service.Begin(accepted, std::move(spec));
  }
  co_return Json(status::accepted, "{}");
}

awaitable<ClaimOutcome> JobApi::FindClaim(std::string job, net::SteadyTime deadline) {
  if (!IsProperId(job)) {
    co_return NoSuchJob{};
  }
  if (const Claim* known = this->service.FindClaim(job)) {
    co_return *known;
  }
  ClaimOutcome outcome = co_await this->store.ReadClaim(job, deadline);
  if (const auto* claim = std::get_if<Claim>(&outcome)) {
    this->service.NoteClaim(*claim);
  }
  co_return outcome;
}

awaitable<net::Response> JobApi::Read(ReadResultsCall call) {
  const net::SteadyTime deadline = net::Now() + kReadLimit;
  ClaimOutcome claim = co_await this->FindClaim(call.job, deadline);
  if (std::holds_alternative<NoSuchJob>(claim)) {
    co_return NoJob();
  }
  if (std::holds_alternative<rowstore::StoreError>(claim)) {
    co_return Unavailable();
  }
  std::optional<std::vector<ItemResult>> results =
      co_await this->store.ReadResults(call.job, call.after, deadline);
  if (!results) {
    co_return Unavailable();
  }
  const std::uint64_t total = std::get<Claim>(claim).total;
  co_return Json(status::ok,
                 platform::EncodeResultPage(total, call.after + results->size(), *results));
}

awaitable<net::Response> JobApi::ReadItem(ReadItemCall call) {
  const net::SteadyTime deadline = net::Now() + kReadLimit;
  ClaimOutcome outcome = co_await this->FindClaim(call.job, deadline);
  if (std::holds_alternative<NoSuchJob>(outcome)) {
    co_return NoJob();
  }
  if (std::holds_alternative<rowstore::StoreError>(outcome)) {
    co_return Unavailable();
  }
  const Claim claim = std::get<Claim>(outcome);
  std::optional<JobSpec> spec = co_await this->store.ReadSpec(claim, deadline);
  if (!spec) {
    co_return Unavailable();
  }
  const auto item = std::find_if(spec->items.begin(), spec->items.end(),
                                 [&](const ItemSpec& other) { return other.id == call.item; });
  if (item == spec->items.end()) {
    co_return gateway::MakeErrorResponse(status::not_found, "no_such_item");
  }
  co_return Content(status::ok, "application/octet-stream", item->body);
}

awaitable<net::Response> JobApi::End(EndJobCall call) {
  const net::SteadyTime deadline = net::Now() + kEndLimit;
  while (true) {
    ClaimOutcome outcome = NoSuchJob{};
    if (IsProperId(call.job)) {
      outcome = co_await this->store.ReadClaim(call.job, deadline);
    }
    if (std::holds_alternative<NoSuchJob>(outcome)) {
      co_return NoJob();
    }
    if (std::holds_alternative<rowstore::StoreError>(outcome)) {
      co_return Unavailable();
    }
    Claim claim = std::get<Claim>(outcome);
    if (claim.state == JobState::kOpen) {
      claim.state = JobState::kEnded;
      outcome = co_await this->store.Replace(claim, {}, deadline);
    }
    const auto* present = std::get_if<Claim>(&outcome);
    if (present != nullptr && present->state != JobState::kOpen) {
      this->service.NoteClaim(*present);
      net::LogLine("job_ended").With("job", call.job).With("claim", present->version);
      co_return Json(status::ok, "{}");
    }
    if (present == nullptr || net::Now() >= deadline) {
      co_return gateway::MakeErrorResponse(status::gateway_timeout, "store_unknown");
    }
  }
}

}  // namespace lentilhead::jobs
