#include "batch/internal/owned_job.h"

#include <algorithm>
#include <utility>

#include "batch/internal/job_keys.h"
#include "batch/internal/job_line.h"
#include "framework/hash.h"
#include "framework/log_event.h"

namespace lentilhead::batch::internal {

namespace {

using datastore::TableErrorKind;
using framework::LogEvent;
using framework::Severity;

constexpr std::size_t kPrefetchItems = 1'024;
constexpr std::size_t kMaxOfferedItems = 256;
constexpr std::size_t kMaxConcurrentLoads = 4;
constexpr std::chrono::milliseconds kLoadRetryDelay{500};
constexpr std::chrono::milliseconds kWriteTimeout{2'000};
constexpr std::chrono::milliseconds kMinBackoff{100};
constexpr std::chrono::milliseconds kMaxBackoff{5'000};

std::vector<std::string> LinesOf(const std::string& body) {
  std::vector<std::string> lines;
  std::size_t start = 0;
  while (start < body.size()) {
    const std::size_t end = std::min(body.find('\n', start), body.size());
    lines.push_back(body.substr(start, end - start));
    start = end + 1;
  }
  return lines;
}

std::string RenderResults(const std::vector<EndedItem>& ended) {
  std::string body;
  for (const EndedItem& item : ended) {
    body += item.line;
    body += '\n';
  }
  return body;
}

}  // namespace

OwnedJob::OwnedJob(BatchParts& parts, std::unique_ptr<JobLedger> ledger, EndHandler on_end,
                   std::function<void()> on_items_available)
    : parts(parts),
      ledger(std::move(ledger)),
      on_end(std::move(on_end)),
      on_items_available(std::move(on_items_available)),
      id(this->ledger->Record().id),
      partition(JobPartition(this->ledger->Record().caller)),
      backoff(kMinBackoff, kMaxBackoff, framework::Hash(this->id)) {}

void OwnedJob::OnTick() {
  this->ledger->OnTime(this->parts.timers.Now(), this->parts.timers.WallNow());
  this->FinishEndings();
  this->LoadSegments();
}

const std::string* OwnedJob::LineOf(std::uint32_t item) const {
  const std::size_t size = this->ledger->Record().segment_items;
  const auto found = this->segments.find(item / size);
  if (found == this->segments.end() || item % size >= found->second.size()) {
    return nullptr;
  }
  return &found->second[item % size];
}

void OwnedJob::LoadSegments() {
  if (this->parts.timers.Now() < this->next_load) {
    return;
  }
  const std::size_t size = this->ledger->Record().segment_items;
  std::vector<std::uint32_t> wanted = this->ledger->Upcoming(kPrefetchItems);
  for (const EndingItem& ending : this->ledger->EndingItems()) {
    wanted.push_back(ending.item);
  }
  for (const std::uint32_t item : wanted) {
    if (this->loading.size() >= kMaxConcurrentLoads) {
      return;
    }
    const std::size_t segment = item / size;
    if (!this->segments.contains(segment) && !this->loading.contains(segment)) {
      this->LoadSegment(segment);
    }
  }
}

void OwnedJob::LoadSegment(std::size_t segment) {
  this->loading.insert(segment);
  const std::string key = ItemsObject(this->id, this->ledger->Record().upload, segment);
  this->parts.objects.Get(key, [self = this->shared_from_this(), segment](auto reply) {
    self->loading.erase(segment);
    if (!reply) {
      self->next_load = self->parts.timers.Now() + kLoadRetryDelay;
      self->parts.metrics.GetCounter("batch_retries_total", {{"reason", "segment_unreadable"}})
          .Add();
      return;
    }
    self->segments[segment] = LinesOf(reply.Value());
    if (!self->ended) {
      self->LoadSegments();
      self->on_items_available();
    }
  });
}

void OwnedJob::RemoveUsedSegments() {
  const std::size_t size = this->ledger->Record().segment_items;
  std::erase_if(this->segments, [&](const auto& entry) {
    for (std::size_t index = 0; index < entry.second.size(); ++index) {
      const std::size_t item = entry.first * size + index;
      if (this->ledger->Items().StateOf(static_cast<std::uint32_t>(item)) <= ItemState::kEnding) {
        return false;
      }
    }
    return true;
  });
}

void OwnedJob::FinishEndings() {
  for (const EndingItem& ending : this->ledger->EndingItems()) {
    const std::string* text = this->LineOf(ending.item);
    if (text == nullptr) {
      continue;
    }
    const std::string custom_id = boost::leaf::try_handle_all(
        [&]() -> framework::Result<std::string> {
          BOOST_LEAF_AUTO(line, ParseJobLine(*text));
          return line.custom_id;
        },
        [] { return std::string(); });
    this->ledger->EndItem(ending.item, RenderEnd(custom_id, ending.reason),
                          this->parts.timers.Now());
  }
}

bool OwnedJob::StartWrite() {
  const framework::MonotonicTime now = this->parts.timers.Now();
  if (this->write_in_flight || this->ended || now < this->next_write) {
    return false;
  }
  const std::optional<LedgerWrite> write =
      this->ledger->NextWrite(now, this->parts.timers.WallNow());
  if (!write) {
    return false;
  }
  this->write_in_flight = true;
  if (write->results > 0 && !this->results_stored) {
    this->PutResults(*write);
  } else {
    this->WriteRow(*write);
  }
  return true;
}

void OwnedJob::PutResults(const LedgerWrite& write) {
  const std::string key = ResultsObject(this->id, write.record.epoch, write.results);
  this->parts.objects.Put(key, RenderResults(write.ended),
                          [self = this->shared_from_this(), write](auto reply) {
                            if (!reply) {
                              self->PauseWrites();
                              return;
                            }
                            self->results_stored = true;
                            if (!self->ended) {
                              self->WriteRow(write);
                            }
                          });
}

void OwnedJob::WriteRow(const LedgerWrite& write) {
  datastore::TableRow row{this->partition, this->id, write.etag, write.record.ToJson()};
  this->parts.metrics.GetCounter("batch_job_writes_total").Add();
  this->parts.writer.Write(std::move(row), datastore::WritePriority::kCommit, kWriteTimeout,
                           [self = this->shared_from_this()](auto reply) {
                             if (self->ended) {
                               return;
                             }
                             if (!reply) {
                               self->OnWriteError(reply.Error());
                               return;
                             }
                             self->ledger->OnWritten(reply.Value().etag);
                             self->FinishWrite();
                           });
}

void OwnedJob::OnWriteError(const datastore::TableError& error) {
  this->parts.metrics.GetCounter("batch_write_failures_total", {{"reason", NameOf(error.kind)}})
      .Add();
  if (error.kind == TableErrorKind::kConflict || error.kind == TableErrorKind::kOutcomeUnknown) {
    this->RereadRow();
    return;
  }
  this->PauseWrites();
}

void OwnedJob::RereadRow() {
  if (this->rereading || this->ended) {
    return;
  }
  this->rereading = true;
  this->parts.table.Get(this->partition, this->id, [self = this->shared_from_this()](auto reply) {
    self->rereading = false;
    if (self->ended) {
      return;
    }
    if (reply) {
      self->OnRow(reply.Value());
    } else if (reply.Error().kind == TableErrorKind::kNotFound) {
      self->Finish(End::kLost);
    } else if (self->write_in_flight) {
      // The outcome of the write is still unknown, so the row is read again before any other write.
      self->reread_timer =
          self->parts.timers.After(self->backoff.Next(), [raw = self.get()] { raw->RereadRow(); });
    }
  });
}

void OwnedJob::OnRow(const datastore::TableRow& row) {
  const std::optional<JobRecord> stored = boost::leaf::try_handle_all(
      [&]() -> framework::Result<std::optional<JobRecord>> {
        BOOST_LEAF_AUTO(record, JobRecord::FromJson(row.value));
        return std::optional<JobRecord>(std::move(record));
      },
      [] { return std::optional<JobRecord>(); });
  if (!stored) {
    LogEvent(Severity::kError, "job_row_unreadable").With("job", this->id);
    this->Finish(End::kLost);
    return;
  }
  const bool was_writing = this->write_in_flight;
  if (!was_writing && stored->state == JobState::kOpen) {
    return;
  }
  switch (this->ledger->OnReread(*stored, row.etag)) {
    case WriteOutcome::kWritten:
      this->FinishWrite();
      return;
    case WriteOutcome::kRetry:
      this->PauseWrites();
      return;
    case WriteOutcome::kLost:
      this->Finish(End::kLost);
      return;
    case WriteOutcome::kCancelled:
      this->Finish(End::kCancelled);
      return;
  }
}

void OwnedJob::PauseWrites() {
  this->write_in_flight = false;
  this->next_write = this->parts.timers.Now() + this->backoff.Next();
}

void OwnedJob::FinishWrite() {
  this->write_in_flight = false;
  this->results_stored = false;
  this->backoff.Reset();
  this->RemoveUsedSegments();
  if (this->ledger->Record().state == JobState::kFinished) {
    this->Finish(End::kFinished);
    return;
  }
  if (this->ledger->IsHandedOver()) {
    this->Finish(End::kHandedOver);
    return;
  }
  this->LoadSegments();
  this->on_items_available();
}

void OwnedJob::Finish(End end) {
  this->ended = true;
  this->write_in_flight = false;
  this->segments.clear();
  this->ledger->Cancel();
  this->on_end(this->id, end);
}

void OwnedJob::OnExchange(const ExchangeRequest& request, bool may_grant, ExchangeReply& reply) {
  const framework::MonotonicTime now = this->parts.timers.Now();
  const auto results = request.results.find(this->id);
  if (results != request.results.end()) {
    for (const ItemResult& result : results->second) {
      this->ledger->OnResult(request.puller, result, now);
    }
  }
  const auto held = request.held.find(this->id);
  std::vector<HeldItem> dropped = this->ledger->OnHeld(
      request.puller, request.sequence,
      held == request.held.end() ? std::vector<HeldItem>() : held->second, now);
  if (!dropped.empty()) {
    reply.dropped[this->id] = std::move(dropped);
  }
  const auto wanted = request.wanted.find(this->id);
  if (wanted == request.wanted.end() || this->ended) {
    return;
  }
  if (may_grant) {
    const auto grants = this->ledger->GrantItems(request.puller, request.sequence,
                                                 wanted->second.count, wanted->second.solo,
                                                 [this](auto item) { return IsReadable(item); });
    const JobRecord& record = this->ledger->Record();
    for (const ItemGrant& grant : grants) {
      reply.granted.push_back(
          {this->id, record.service, grant, record.at_most_once, *this->LineOf(grant.item)});
    }
  }
  reply.offers.push_back(this->Offer());
}

JobOffer OwnedJob::Offer() const {
  const JobRecord& record = this->ledger->Record();
  JobOffer offer{this->id,
                 record.caller,
                 record.service,
                 record.epoch,
                 0,
                 0,
                 this->ledger->Laxity(this->parts.timers.WallNow())};
  for (const std::uint32_t item : this->ledger->Upcoming(kMaxOfferedItems)) {
    const bool solo = this->ledger->Items().StateOf(item) == ItemState::kSuspect;
    offer.pending += !solo && this->IsReadable(item) ? 1 : 0;
  }
  offer.pending_solo = this->ledger->PendingSolo();
  return offer;
}

}  // namespace lentilhead::batch::internal
