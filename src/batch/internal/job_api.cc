#include "batch/job_api.h"

#include <charconv>
#include <utility>

#include "batch/internal/api_parts.h"
#include "batch/internal/job_cancel.h"
#include "batch/internal/job_keys.h"
#include "batch/internal/results_sender.h"
#include "batch/internal/submission.h"
#include "framework/hash.h"

namespace lentilhead::batch {

namespace {

using datastore::TableErrorKind;
using framework::HttpExchange;

constexpr const char* kJobsPath = "/v1/jobs";
constexpr const char* kJobPath = "/v1/jobs/";
constexpr std::string_view kResultsSuffix = "/results";
constexpr std::string_view kCancelSuffix = "/cancel";
constexpr std::size_t kMaxSubmissions = 16;
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
constexpr std::chrono::milliseconds kMinDeadline{1'000};
constexpr std::chrono::milliseconds kMaxDeadline{std::chrono::hours(24 * 30)};
constexpr std::chrono::milliseconds kBusyRetryAfter{2'000};

framework::HttpError InvalidRequest(std::string code, std::string message) {
  return {400,      "invalid_request_error", std::move(code), std::move(message), std::nullopt,
          "not_run"};
}

/// Parses a whole number. Returns no value for any other text.
std::optional<std::int64_t> ParseNumber(const std::string& text) {
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

bool RemoveSuffix(std::string& text, std::string_view suffix) {
  if (!text.ends_with(suffix)) {
    return false;
  }
  text.resize(text.size() - suffix.size());
  return true;
}

}  // namespace

class JobApi::State : public std::enable_shared_from_this<JobApi::State> {
 public:
  using Exchange = std::shared_ptr<HttpExchange>;

  State(internal::ApiParts parts) : parts(parts) {}  // NOLINT

  void Submit(const Exchange& exchange);
  void List(const Exchange& exchange);
  void Show(const Exchange& exchange);
  void Cancel(const Exchange& exchange);

  internal::ApiParts parts;
  Authenticator authenticator;
  std::size_t open = 0;

 private:
  std::optional<internal::SubmissionOptions> ReadOptions(const Exchange& exchange,
                                                         const std::string& caller);
  void FetchJob(const Exchange& exchange, const std::string& caller, const std::string& job,
                std::function<void(const JobRecord&)> handler);
};

std::optional<internal::SubmissionOptions> JobApi::State::ReadOptions(const Exchange& exchange,
                                                                      const std::string& caller) {
  internal::SubmissionOptions options;
  options.caller = caller;
  options.service = this->parts.services.FindService(exchange->Query("service").value_or(""));
  if (options.service == nullptr) {
    Refuse(this->parts, *exchange, InvalidRequest("unknown_service", "there is no such service"));
    return std::nullopt;
  }
  options.deadline = this->parts.settings.default_deadline;
  const std::optional<std::string> deadline = exchange->Query("deadline_ms");
  if (deadline) {
    options.deadline = std::chrono::milliseconds(ParseNumber(*deadline).value_or(0));
  }
  if (options.deadline < kMinDeadline || options.deadline > kMaxDeadline) {
    Refuse(this->parts, *exchange,
           InvalidRequest("invalid_deadline", "deadline_ms must be from 1000 to 30 days"));
    return std::nullopt;
  }
  const std::string late = exchange->Query("late").value_or("run");
  if (late != "run" && late != "drop") {
    Refuse(this->parts, *exchange, InvalidRequest("invalid_late", "late must be run or drop"));
    return std::nullopt;
  }
  options.late = late == "drop" ? LatePolicy::kDrop : LatePolicy::kRun;
  options.idempotency_key = exchange->Header("Idempotency-Key").value_or("");
  if (options.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    Refuse(this->parts, *exchange,
           InvalidRequest("invalid_idempotency_key", "Idempotency-Key is too long"));
    return std::nullopt;
  }
  if (options.idempotency_key.empty()) {
    options.idempotency_key = framework::RandomId();
  }
  return options;
}

void JobApi::State::Submit(const Exchange& exchange) {
  const std::optional<std::string> caller = this->authenticator(exchange);
  if (!caller) {
    return;
  }
  if (this->open >= kMaxSubmissions) {
    Refuse(this->parts, *exchange,
           {429, "rate_limit_error", "too_many_submissions",
            "too many jobs are being submitted to this instance", kBusyRetryAfter, "not_run"});
    return;
  }
  std::optional<internal::SubmissionOptions> options = this->ReadOptions(exchange, *caller);
  if (!options) {
    return;
  }
  // The guard is destroyed after the last callback of the submission and decrements the count.
  this->open += 1;
  auto guard = std::shared_ptr<void>(nullptr, [state = this->weak_from_this()](void*) {
    if (const auto alive = state.lock()) {
      alive->open -= 1;
    }
  });
  auto submission = std::make_shared<internal::Submission>(this->parts, exchange,
                                                           *std::move(options), std::move(guard));
  submission->Start();
}

void JobApi::State::List(const Exchange& exchange) {
  const std::optional<std::string> caller = this->authenticator(exchange);
  if (!caller) {
    return;
  }
  this->parts.table.Query(
      internal::JobPartition(*caller),
      [state = this->shared_from_this(), exchange, caller = *caller](auto reply) {
        if (!reply) {
          RefuseUnavailable(state->parts, *exchange, "not_run");
          return;
        }
        std::string body = R"({"object":"list","data":[)";
        const char* separator = "";
        for (const datastore::TableRow& row : reply.Value()) {
          const std::optional<JobRecord> record = internal::ReadJobRow(row);
          if (!record || record->caller != caller) {
            continue;
          }
          body += separator + internal::RenderStatus(*record);
          separator = ",";
        }
        framework::RespondJson(*exchange, 200, body + "]}");
      });
}

void JobApi::State::FetchJob(const Exchange& exchange, const std::string& caller,
                             const std::string& job,
                             std::function<void(const JobRecord&)> handler) {
  this->parts.table.Get(internal::JobPartition(caller), job,
                        [state = this->shared_from_this(), exchange, caller,
                         handler = std::move(handler)](auto reply) {
                          if (!reply && reply.Error().kind != TableErrorKind::kNotFound) {
                            RefuseUnavailable(state->parts, *exchange, "not_run");
                            return;
                          }
                          const std::optional<JobRecord> record =
                              reply ? internal::ReadJobRow(reply.Value())
                                    : std::optional<JobRecord>();
                          if (!record || record->caller != caller) {
                            RefuseUnknownJob(state->parts, *exchange);
                            return;
                          }
                          handler(*record);
                        });
}

void JobApi::State::Show(const Exchange& exchange) {
  const std::optional<std::string> caller = this->authenticator(exchange);
  if (!caller) {
    return;
  }
  std::string job(exchange->Path().substr(std::string_view(kJobPath).size()));
  if (RemoveSuffix(job, kResultsSuffix)) {
    this->FetchJob(exchange, *caller, job, [this, exchange](const JobRecord& record) {
      std::make_shared<internal::ResultsSender>(this->parts, exchange, record)->Start();
    });
    return;
  }
  this->FetchJob(exchange, *caller, job, [exchange](const JobRecord& record) {
    framework::RespondJson(*exchange, 200, internal::RenderStatus(record));
  });
}

void JobApi::State::Cancel(const Exchange& exchange) {
  const std::optional<std::string> caller = this->authenticator(exchange);
  if (!caller) {
    return;
  }
  std::string job(exchange->Path().substr(std::string_view(kJobPath).size()));
  if (!RemoveSuffix(job, kCancelSuffix)) {
    RefuseUnknownJob(this->parts, *exchange);
    return;
  }
  std::make_shared<internal::JobCancel>(this->parts, exchange, *caller, std::move(job))->Start();
}

JobApi::JobApi(const BatchSettings& settings, const endpoint::EndpointSettings& services,
               datastore::TableClient& table, datastore::ObjectStoreClient& objects,
               datastore::ResolvedWriter& writer, framework::TimerService& timers,
               framework::Metrics& metrics)
    : state(std::make_shared<State>(
          internal::ApiParts{settings, services, table, objects, writer, timers, metrics})) {}

JobApi::~JobApi() = default;

void JobApi::RegisterRoutes(framework::HttpRouter& router, Authenticator authenticator) {
  this->state->authenticator = std::move(authenticator);
  State* raw = this->state.get();
  router.AddStreamed("POST", kJobsPath, [raw](const auto& exchange) { raw->Submit(exchange); });
  router.Add("GET", kJobsPath, [raw](const auto& exchange) { raw->List(exchange); });
  router.Add("GET", kJobPath, [raw](const auto& exchange) { raw->Show(exchange); });
  router.Add("POST", kJobPath, [raw](const auto& exchange) { raw->Cancel(exchange); });
}

std::size_t JobApi::OpenExchanges() const { return this->state->open; }

}  // namespace lentilhead::batch
