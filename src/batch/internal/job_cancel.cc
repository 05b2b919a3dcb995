#include "batch/internal/job_cancel.h"

#include <utility>

#include "batch/internal/job_keys.h"
#include "batch/internal/open_entry.h"
#include "framework/log_event.h"

namespace lentilhead::batch::internal {

namespace {

using datastore::TableErrorKind;

/// A busy owner writes the row about once per commit period, so that one of a few attempts succeeds
/// between its writes.
constexpr int kMaxAttempts = 8;
constexpr std::chrono::milliseconds kRetryDelay{30};
constexpr std::chrono::milliseconds kWriteTimeout{1'500};
constexpr std::chrono::milliseconds kNoticeTimeout{30'000};

}  // namespace

JobCancel::JobCancel(ApiParts& parts, std::shared_ptr<framework::HttpExchange> exchange,
                     std::string caller, std::string job)
    : parts(parts), exchange(std::move(exchange)), caller(std::move(caller)), job(std::move(job)) {}

void JobCancel::Start() {
  this->attempts += 1;
  this->parts.table.Get(JobPartition(this->caller), this->job,
                        [self = this->shared_from_this()](auto reply) {
                          if (reply) {
                            self->OnRow(reply.Value());
                          } else if (reply.Error().kind == TableErrorKind::kNotFound) {
                            RefuseUnknownJob(self->parts, *self->exchange);
                          } else {
                            self->Retry(reply.Error().kind);
                          }
                        });
}

void JobCancel::OnRow(const datastore::TableRow& row) {
  std::optional<JobRecord> record = ReadJobRow(row);
  if (!record) {
    RefuseUnavailable(this->parts, *this->exchange, "not_run");
    return;
  }
  if (record->state == JobState::kFinished) {
    Refuse(
        this->parts, *this->exchange,
        {409, "conflict_error", "job_finished", "the job has finished", std::nullopt, "not_run"});
    return;
  }
  if (record->state == JobState::kCancelled) {
    this->OnWritten(*record);
    return;
  }
  record->state = JobState::kCancelled;
  record->ended = this->parts.timers.WallNow();
  datastore::TableRow changed{row.partition, row.key, row.etag, record->ToJson()};
  this->parts.writer.Write(std::move(changed), datastore::WritePriority::kIntent, kWriteTimeout,
                           [self = this->shared_from_this(), cancelled = *record](auto reply) {
                             if (reply) {
                               self->OnWritten(cancelled);
                               return;
                             }
                             self->outcome_unknown =
                                 self->outcome_unknown ||
                                 reply.Error().kind == TableErrorKind::kOutcomeUnknown;
                             self->Retry(reply.Error().kind);
                           });
}

void JobCancel::OnWritten(const JobRecord& record) {
  framework::LogEvent(framework::Severity::kInfo, "job_cancelled").With("job", this->job);
  framework::RespondJson(*this->exchange, 200, RenderStatus(record));
  // The notice makes the owner read the row at its next scan. Without it, the owner only detects
  // the cancel at its next write.
  OpenEntry notice;
  notice.kind = OpenEntryKind::kCancel;
  notice.job = this->job;
  notice.caller = this->caller;
  notice.created = this->parts.timers.WallNow();
  const int shard = ShardOf(this->job, this->parts.settings.shards);
  this->parts.writer.Write(notice.ToRow(shard), datastore::WritePriority::kIntent, kNoticeTimeout,
                           [](const auto& /*reply*/) {});
}

void JobCancel::Retry(TableErrorKind error) {
  const bool retryable = error == TableErrorKind::kConflict ||
                         error == TableErrorKind::kThrottled ||
                         error == TableErrorKind::kOutcomeUnknown;
  if (!retryable || this->attempts >= kMaxAttempts) {
    RefuseUnavailable(this->parts, *this->exchange, this->outcome_unknown ? "unknown" : "not_run");
    return;
  }
  this->retry =
      this->parts.timers.After(kRetryDelay * this->attempts,
                               [raw = this, self = this->shared_from_this()] { raw->Start(); });
}

}  // namespace lentilhead::batch::internal
