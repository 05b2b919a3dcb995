#include "batch/internal/submission.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "batch/internal/job_keys.h"
#include "framework/hash.h"
#include "framework/log_event.h"

namespace lentilhead::batch::internal {

namespace {

using datastore::TableErrorKind;
using nlohmann::json;

constexpr std::size_t kMaxConcurrentPuts = 4;
constexpr std::size_t kMaxWaitingSegments = 2;
constexpr std::chrono::milliseconds kWriteTimeout{5'000};

/// An upload that takes longer than the upload timeout divided by this number is refused, because
/// its items are removed as abandoned after the full timeout.
constexpr int kUploadTimeDivisor = 2;

std::string OptionsText(const SubmissionOptions& options) {
  return options.service->name + "\n" + std::to_string(options.deadline.count()) +
         (options.late == LatePolicy::kDrop ? "\ndrop\n" : "\nrun\n");
}

}  // namespace

Submission::Submission(ApiParts& parts, std::shared_ptr<framework::HttpExchange> exchange,
                       SubmissionOptions options, std::shared_ptr<void> guard)
    : parts(parts),
      exchange(std::move(exchange)),
      options(std::move(options)),
      guard(std::move(guard)),
      job(JobIdOf(this->options.caller, this->options.idempotency_key)),
      checker(parts.settings.max_line_bytes, parts.settings.max_items, *this->options.service),
      checksum(g_checksum_new(G_CHECKSUM_SHA256)),
      started(parts.timers.Now()) {
  this->entry.job = this->job;
  this->entry.caller = this->options.caller;
  this->entry.upload = framework::RandomId();
  this->entry.created = parts.timers.WallNow();
  const std::string text = OptionsText(this->options);
  g_checksum_update(this->checksum, reinterpret_cast<const guchar*>(text.data()),
                    static_cast<gssize>(text.size()));
}

Submission::~Submission() { g_checksum_free(this->checksum); }

void Submission::Start() {
  const auto self = this->shared_from_this();
  this->exchange->ReadBody([self](std::string_view bytes) { self->OnChunk(bytes); },
                           [self] { self->OnBodyEnd(); });
  this->exchange->OnClosed([self](bool completed) {
    if (!completed && !self->ended) {
      self->ended = true;
      self->RemoveUpload();
    }
  });
  const int shard = ShardOf(this->job, this->parts.settings.shards);
  this->parts.writer.Write(this->entry.ToRow(shard), datastore::WritePriority::kIntent,
                           kWriteTimeout, [self](auto reply) {
                             self->entry_stored = reply.HasValue();
                             self->failed = !self->entry_stored;
                             if (self->entry_stored) {
                               self->entry.etag = reply.Value().etag;
                               self->entry.key = reply.Value().key;
                             }
                             self->PutNext();
                             self->FinishIfStored();
                           });
}

void Submission::OnChunk(std::string_view bytes) {
  g_checksum_update(this->checksum, reinterpret_cast<const guchar*>(bytes.data()),
                    static_cast<gssize>(bytes.size()));
  this->checker.Feed(bytes, this->lines);
  this->StoreFullSegments();
}

void Submission::OnBodyEnd() {
  this->checker.Finish(this->lines);
  this->StoreFullSegments();
  this->StoreSegment(this->lines.size());
  this->body_ended = true;
  this->digest = g_checksum_get_string(this->checksum);
  this->FinishIfStored();
}

void Submission::StoreFullSegments() {
  const auto size = static_cast<std::size_t>(this->parts.settings.segment_items);
  while (this->lines.size() >= size) {
    this->StoreSegment(size);
  }
  if (this->waiting_segments.size() > kMaxWaitingSegments) {
    this->exchange->PauseBody();
  }
}

void Submission::StoreSegment(std::size_t count) {
  // No more segments are stored for a submission that will be refused.
  if (count == 0 || this->checker.FaultCount() > 0) {
    this->lines.clear();
    return;
  }
  std::string body;
  for (std::size_t index = 0; index < count; ++index) {
    body += this->lines[index];
    body += '\n';
  }
  this->lines.erase(this->lines.begin(), this->lines.begin() + static_cast<std::ptrdiff_t>(count));
  this->waiting_segments.push_back(std::move(body));
  this->PutNext();
}

void Submission::PutNext() {
  while (this->entry_stored && !this->failed && !this->waiting_segments.empty() &&
         this->puts_in_flight < kMaxConcurrentPuts) {
    this->puts_in_flight += 1;
    const std::string key = ItemsObject(this->job, this->entry.upload, this->segments);
    this->segments += 1;
    this->parts.objects.Put(
        key, std::move(this->waiting_segments.front()),
        [self = this->shared_from_this()](auto reply) { self->OnPut(reply.HasValue()); });
    this->waiting_segments.pop_front();
  }
}

void Submission::OnPut(bool stored) {
  this->puts_in_flight -= 1;
  this->failed = this->failed || !stored;
  this->PutNext();
  if (this->waiting_segments.size() <= kMaxWaitingSegments && !this->body_ended && !this->ended) {
    this->exchange->ResumeBody();
  }
  this->FinishIfStored();
}

void Submission::FinishIfStored() {
  if (!this->body_ended || this->ended || this->puts_in_flight > 0) {
    return;
  }
  const bool stored = this->entry_stored && this->waiting_segments.empty();
  if (!stored && !this->failed) {
    return;
  }
  if (this->checker.FaultCount() > 0 || this->checker.Items() == 0) {
    this->RefuseInvalidLines();
    return;
  }
  const auto limit = this->parts.settings.upload_timeout / kUploadTimeDivisor;
  if (this->failed || this->parts.timers.Now() > this->started + limit) {
    this->ended = true;
    RefuseUnavailable(this->parts, *this->exchange, "not_run");
    this->RemoveUpload();
    return;
  }
  this->InsertRow();
}

void Submission::RefuseInvalidLines() {
  this->ended = true;
  json lines_list = json::array();
  for (const LineFault& fault : this->checker.Faults()) {
    lines_list.push_back({{"line", fault.line}, {"code", fault.code}, {"message", fault.message}});
  }
  const bool empty = this->checker.FaultCount() == 0;
  const char* code = empty ? "empty_job" : "invalid_lines";
  const std::string message =
      empty ? "the job has no items"
            : std::to_string(this->checker.FaultCount()) + " lines cannot be accepted";
  const json body = {{"error",
                      {{"type", "invalid_request_error"},
                       {"code", code},
                       {"message", message},
                       {"outcome", "not_run"},
                       {"fault_count", this->checker.FaultCount()},
                       {"lines", std::move(lines_list)}}}};
  this->parts.metrics.GetCounter("batch_refusals_total", {{"reason", code}}).Add();
  framework::RespondJson(*this->exchange, 400,
                         body.dump(-1, ' ', false, json::error_handler_t::replace));
  this->RemoveUpload();
}

JobRecord Submission::BuildRecord() const {
  JobRecord record;
  record.id = this->job;
  record.caller = this->options.caller;
  record.service = this->options.service->name;
  record.digest = this->digest;
  record.upload = this->entry.upload;
  record.late = this->options.late;
  record.at_most_once = this->checker.AtMostOnce();
  record.items = this->checker.Items();
  record.segment_items = static_cast<std::size_t>(this->parts.settings.segment_items);
  record.created = this->entry.created;
  record.deadline = this->entry.created + this->options.deadline;
  record.done = ItemBitmap(record.items);
  return record;
}

void Submission::InsertRow() {
  this->ended = true;
  datastore::TableRow row{JobPartition(this->options.caller), this->job, "",
                          this->BuildRecord().ToJson()};
  this->parts.writer.Write(
      std::move(row), datastore::WritePriority::kIntent, kWriteTimeout,
      [self = this->shared_from_this()](auto reply) {
        self->OnInserted(reply.HasValue(), reply ? TableErrorKind::kConflict : reply.Error().kind);
      });
}

void Submission::OnInserted(bool stored, TableErrorKind error) {
  if (stored) {
    this->Accept(this->BuildRecord(), 201);
    return;
  }
  if (error == TableErrorKind::kConflict) {
    this->AnswerExisting();
    return;
  }
  // If the outcome is unknown, the upload stays. It is removed later if no job refers to it.
  const bool unknown = error == TableErrorKind::kOutcomeUnknown;
  RefuseUnavailable(this->parts, *this->exchange, unknown ? "unknown" : "not_run");
  if (!unknown) {
    this->RemoveUpload();
  }
}

void Submission::AnswerExisting() {
  this->parts.table.Get(
      JobPartition(this->options.caller), this->job, [self = this->shared_from_this()](auto reply) {
        const std::optional<JobRecord> stored =
            reply ? ReadJobRow(reply.Value()) : std::optional<JobRecord>();
        if (!stored) {
          RefuseUnavailable(self->parts, *self->exchange, "unknown");
          return;
        }
        if (stored->upload != self->entry.upload) {
          self->RemoveUpload();
        }
        if (stored->digest == self->digest) {
          self->Accept(*stored, 200);
          return;
        }
        Refuse(self->parts, *self->exchange,
               {409, "conflict_error", "idempotency_conflict",
                "another job was submitted with this Idempotency-Key", std::nullopt, "not_run"});
      });
}

void Submission::Accept(const JobRecord& record, int status) {
  framework::LogEvent(framework::Severity::kInfo, "job_accepted")
      .With("job", record.id)
      .With("caller", record.caller)
      .With("items", record.items)
      .With("resent", status == 200);
  this->parts.metrics.GetCounter("batch_jobs_accepted_total").Add();
  framework::RespondJson(*this->exchange, status, RenderStatus(record));
}

void Submission::RemoveUpload() {
  if (!this->entry_stored) {
    return;
  }
  this->failed = true;
  const auto remaining_objects = std::make_shared<std::size_t>(this->segments);
  if (*remaining_objects == 0) {
    this->RemoveEntry();
    return;
  }
  for (std::size_t segment = 0; segment < this->segments; ++segment) {
    this->parts.objects.Delete(ItemsObject(this->job, this->entry.upload, segment),
                               [self = this->shared_from_this(), remaining_objects](auto reply) {
                                 // If an object remains, the entry stays, so that the garbage
                                 // collector finds it.
                                 if (reply && --*remaining_objects == 0) {
                                   self->RemoveEntry();
                                 }
                               });
  }
}

void Submission::RemoveEntry() {
  const int shard = ShardOf(this->job, this->parts.settings.shards);
  this->parts.table.Delete(OpenPartition(shard), this->entry.key, this->entry.etag,
                           [self = this->shared_from_this()](auto) {});
}

}  // namespace lentilhead::batch::internal
