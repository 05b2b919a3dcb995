#include "batch/internal/api_parts.h"

#include <utility>

namespace lentilhead::batch::internal {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kRetryAfter{1'000};

std::int64_t ToMilliseconds(framework::WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

}  // namespace

void Refuse(ApiParts& parts, framework::HttpExchange& exchange, const framework::HttpError& error) {
  parts.metrics.GetCounter("batch_refusals_total", {{"reason", error.code}}).Add();
  framework::RespondError(exchange, error);
}

void RefuseUnavailable(ApiParts& parts, framework::HttpExchange& exchange,
                       const std::string& outcome) {
  Refuse(parts, exchange,
         {503, "service_unavailable_error", "store_unavailable",
          "the platform's store did not answer; repeat the request with the same Idempotency-Key",
          kRetryAfter, outcome});
}

void RefuseUnknownJob(ApiParts& parts, framework::HttpExchange& exchange) {
  Refuse(parts, exchange,
         {404, "invalid_request_error", "unknown_job", "there is no such job", std::nullopt,
          "not_run"});
}

std::string RenderStatus(const JobRecord& record) {
  const std::size_t ended = record.done.Count();
  json status = {{"id", record.id},
                 {"object", "batch_job"},
                 {"service", record.service},
                 {"state", NameOf(record.state)},
                 {"created_ms", ToMilliseconds(record.created)},
                 {"deadline_ms", ToMilliseconds(record.deadline)},
                 {"deadline_at_risk", record.deadline_at_risk},
                 {"items",
                  {{"total", record.items},
                   {"ended", ended},
                   {"succeeded", record.succeeded},
                   {"failed", record.failed},
                   {"unknown", record.unknown},
                   {"remaining", record.items - ended}}}};
  if (record.state != JobState::kOpen) {
    status["ended_ms"] = ToMilliseconds(record.ended);
  }
  return status.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<JobRecord> ReadJobRow(const datastore::TableRow& row) {
  return boost::leaf::try_handle_all(
      [&]() -> framework::Result<std::optional<JobRecord>> {
        BOOST_LEAF_AUTO(record, JobRecord::FromJson(row.value));
        return std::optional<JobRecord>(std::move(record));
      },
      [] { return std::optional<JobRecord>(); });
}

}  // namespace lentilhead::batch::internal
