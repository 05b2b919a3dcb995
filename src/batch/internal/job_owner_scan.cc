#include <algorithm>
#include <utility>

#include "batch/internal/job_keys.h"
#include "batch/internal/job_owner.h"
#include "framework/log_event.h"

namespace lentilhead::batch::internal {

namespace {

using datastore::TableErrorKind;
using framework::LogEvent;
using framework::Severity;

constexpr std::size_t kMaxConcurrentJobReads = 16;
constexpr std::chrono::milliseconds kClaimTimeout{2'000};
constexpr std::chrono::milliseconds kMinJobReadPeriod{1'000};

std::optional<JobRecord> ReadRecord(const datastore::TableRow& row) {
  return boost::leaf::try_handle_all(
      [&]() -> framework::Result<std::optional<JobRecord>> {
        BOOST_LEAF_AUTO(record, JobRecord::FromJson(row.value));
        return std::optional<JobRecord>(std::move(record));
      },
      [] { return std::optional<JobRecord>(); });
}

}  // namespace

void JobOwner::Scan(int shard) {
  this->scanning[shard] = true;
  this->last_scan[shard] = this->parts.timers.Now();
  this->parts.table.Query(OpenPartition(shard), [this, shard](auto reply) {
    this->scanning[shard] = false;
    if (reply) {
      this->OnScanned(shard, reply.Value());
    }
  });
}

void JobOwner::OnScanned(int shard, const std::vector<datastore::TableRow>& rows) {
  std::map<std::string, std::vector<OpenEntry>> by_job;
  for (const datastore::TableRow& row : rows) {
    const std::optional<OpenEntry> entry = OpenEntry::FromRow(row);
    if (entry) {
      by_job[entry->job].push_back(*entry);
    }
  }
  for (auto& [job, entries] : by_job) {
    const bool cancelled = std::any_of(entries.begin(), entries.end(), [](const OpenEntry& entry) {
      return entry.kind == OpenEntryKind::kCancel;
    });
    const auto owned = this->jobs.find(job);
    if (owned == this->jobs.end()) {
      this->ProcessJob(shard, job, std::move(entries));
    } else if (cancelled) {
      owned->second->RereadRow();
    }
  }
}

void JobOwner::ProcessJob(int shard, const std::string& job, std::vector<OpenEntry> entries) {
  const framework::MonotonicTime now = this->parts.timers.Now();
  const auto from = this->next_read.find(job);
  const bool too_early = from != this->next_read.end() && now < from->second;
  if (too_early || this->busy_keys.contains(job) ||
      this->busy_keys.size() >= kMaxConcurrentJobReads || this->leases.MustRelease(shard)) {
    return;
  }
  this->busy_keys.insert(job);
  this->next_read[job] = now + kMinJobReadPeriod;
  const std::string partition = JobPartition(entries.front().caller);
  this->parts.table.Get(partition, job, [this, job, entries = std::move(entries)](auto reply) {
    if (reply) {
      this->OnJobRow(job, reply.Value(), entries);
      return;
    }
    this->busy_keys.erase(job);
    if (reply.Error().kind == TableErrorKind::kNotFound) {
      this->RemoveAbandoned(entries, "");
    }
  });
}

void JobOwner::OnJobRow(const std::string& job, const datastore::TableRow& row,
                        const std::vector<OpenEntry>& entries) {
  const std::optional<JobRecord> record = ReadRecord(row);
  if (!record) {
    LogEvent(Severity::kError, "job_row_unreadable").With("job", job);
    this->busy_keys.erase(job);
    return;
  }
  this->RemoveAbandoned(entries, record->upload);
  if (record->state == JobState::kOpen) {
    this->Claim(*record, row.etag);
    return;
  }
  this->garbage_collector.CleanUpEndedJob(
      *record, entries, [this, job](bool /*complete*/) { this->busy_keys.erase(job); });
}

void JobOwner::Claim(const JobRecord& stored, const std::string& etag) {
  const JobRecord claimed = JobLedger::ClaimOf(stored, this->parts.run, this->Limits());
  datastore::TableRow row{JobPartition(stored.caller), stored.id, etag, claimed.ToJson()};
  this->parts.writer.Write(std::move(row), datastore::WritePriority::kLease, kClaimTimeout,
                           [this, stored, claimed](auto reply) {
                             this->busy_keys.erase(stored.id);
                             if (reply) {
                               this->OnClaimed(stored, claimed, reply.Value().etag);
                               return;
                             }
                             this->parts.metrics
                                 .GetCounter("batch_claim_failures_total",
                                             {{"reason", NameOf(reply.Error().kind)}})
                                 .Add();
                           });
}

void JobOwner::OnClaimed(const JobRecord& stored, const JobRecord& claimed,
                         const std::string& etag) {
  LogEvent(Severity::kInfo, "job_claimed")
      .With("job", claimed.id)
      .With("epoch", claimed.epoch)
      .With("done", claimed.done.Count())
      .With("items", claimed.items);
  auto ledger =
      std::make_unique<JobLedger>(stored, claimed, etag, this->Limits(), this->parts.timers.Now());
  this->jobs[claimed.id] = std::make_shared<OwnedJob>(
      this->parts, std::move(ledger),
      [this](const std::string& job, OwnedJob::End end) { this->OnJobEnd(job, end); },
      [this] { this->offers_due = true; });
  this->write_queue.push_back(claimed.id);
  this->offers_due = true;
  this->parts.metrics.GetGauge("batch_owned_jobs")
      .Set(static_cast<std::int64_t>(this->jobs.size()));
}

void JobOwner::RemoveAbandoned(const std::vector<OpenEntry>& entries,
                               const std::string& kept_upload) {
  for (const OpenEntry& entry : entries) {
    const bool old =
        this->parts.timers.WallNow() > entry.created + this->parts.settings.upload_timeout;
    if (entry.upload == kept_upload || !old || this->busy_keys.contains(entry.key)) {
      continue;
    }
    this->busy_keys.insert(entry.key);
    const auto done = [this, key = entry.key](bool /*complete*/) { this->busy_keys.erase(key); };
    this->garbage_collector.RemoveUpload(entry, done);
  }
}

void JobOwner::ScanEnded(int shard) {
  this->last_ended_scan[shard] = this->parts.timers.Now();
  this->parts.table.Query(EndedPartition(shard), [this](auto reply) {
    if (!reply) {
      return;
    }
    for (const datastore::TableRow& row : reply.Value()) {
      const std::optional<EndedEntry> entry = EndedEntry::FromRow(row);
      if (!entry || this->parts.timers.WallNow() < entry->expires ||
          this->busy_keys.contains(entry->job)) {
        continue;
      }
      this->busy_keys.insert(entry->job);
      this->garbage_collector.RemoveExpired(
          *entry, [this, job = entry->job](bool /*complete*/) { this->busy_keys.erase(job); });
    }
  });
}

}  // namespace lentilhead::batch::internal
