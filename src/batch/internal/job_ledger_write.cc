#include <algorithm>
#include <utility>

#include "batch/internal/invariant.h"
#include "batch/internal/job_ledger.h"

namespace lentilhead::batch::internal {

namespace {

/// Jobs with at least this many items wait for kLargeJobCommitItems results before a commit.
constexpr std::size_t kLargeJobItems = 1'024;
constexpr std::size_t kLargeJobCommitItems = 64;

/// A large job waits at most this many commit periods for these results.
constexpr int kMaxCommitWaitPeriods = 15;

}  // namespace

std::optional<LedgerWrite> JobLedger::NextWrite(framework::MonotonicTime now,
                                                framework::WallTime wall_now) {
  if (this->cancelled || this->handed_over || this->record.state != JobState::kOpen) {
    return std::nullopt;
  }
  if (this->writing) {
    return this->writing;
  }
  if (!this->IsWriteDue(now)) {
    return std::nullopt;
  }
  this->writing = this->BuildWrite(wall_now);
  RequireLegalWrite(this->record, *this->writing);
  return this->writing;
}

bool JobLedger::IsWriteDue(framework::MonotonicTime now) const {
  if (this->handing_over) {
    return this->ending_reasons.empty();
  }
  return this->IsCommitDue(now) || this->NeedsSolo() || this->NeedsWindow() ||
         this->at_risk != this->record.deadline_at_risk;
}

bool JobLedger::IsCommitDue(framework::MonotonicTime now) const {
  const std::size_t waiting = this->uncommitted.size();
  if (waiting == 0) {
    return false;
  }
  if (this->record.done.Count() + waiting == this->record.items) {
    return true;
  }
  if (waiting >= std::min(this->limits.commit_items, (this->limits.window_items + 1) / 2)) {
    return true;
  }
  const auto age = now - this->oldest_uncommitted;
  const bool enough_results =
      this->record.items < kLargeJobItems || waiting >= kLargeJobCommitItems;
  return age >= this->limits.commit_period * (enough_results ? 1 : kMaxCommitWaitPeriods);
}

bool JobLedger::NeedsSolo() const {
  return !this->items.Suspects().empty() && this->PendingSolo() == 0 &&
         std::none_of(this->record.solo.begin(), this->record.solo.end(),
                      [this](auto item) { return this->items.StateOf(item) == ItemState::kHeld; });
}

bool JobLedger::NeedsWindow() const {
  const std::size_t open =
      this->record.declared - this->record.done.Count() - this->uncommitted.size();
  return this->record.declared < this->record.items && open <= this->limits.window_items / 2;
}

LedgerWrite JobLedger::BuildWrite(framework::WallTime wall_now) const {
  LedgerWrite write{this->record, this->etag, this->uncommitted, 0};
  JobRecord& next = write.record;
  AddResults(write);
  next.deadline_at_risk = this->at_risk;
  if (!this->handing_over) {
    next.declared = DeclaredAfter(next, this->limits);
  }
  next.solo.clear();
  for (const std::uint32_t item : this->record.solo) {
    if (this->items.StateOf(item) == ItemState::kHeld) {
      next.solo.push_back(item);
    }
  }
  for (const std::uint32_t item : this->items.Suspects()) {
    if (next.solo.size() >= this->limits.solo_items) {
      break;
    }
    next.solo.push_back(item);
  }
  if (next.done.Count() == next.items) {
    next.state = JobState::kFinished;
    next.ended = wall_now;
    next.solo.clear();
  }
  if (this->handing_over) {
    next.holder.clear();
  }
  return write;
}

void JobLedger::OnWritten(const std::string& new_etag) {
  if (!this->writing) {
    return;
  }
  const std::size_t count = this->writing->ended.size();
  for (std::size_t index = 0; index < count; ++index) {
    const EndedItem& ended = this->uncommitted[index];
    this->items.MoveTo(ended.item, ItemState::kCommitted);
    this->uncommitted_bytes -= ended.line.size();
  }
  this->uncommitted.erase(this->uncommitted.begin(),
                          this->uncommitted.begin() + static_cast<std::ptrdiff_t>(count));
  if (!this->uncommitted.empty()) {
    this->oldest_uncommitted = this->uncommitted.front().ended_at;
  }
  std::map<std::uint32_t, ItemFailures> item_failures = std::move(this->record.item_failures);
  this->record = std::move(this->writing->record);
  // Failures recorded since the write was built are stored by the next write.
  for (auto& [item, failures] : item_failures) {
    if (!this->record.done.Test(item)) {
      this->record.item_failures[item] = failures;
    }
  }
  this->writing.reset();
  this->etag = new_etag;
  this->handed_over = this->record.holder.empty();
}

WriteOutcome JobLedger::OnReread(const JobRecord& stored, const std::string& new_etag) {
  if (stored.state == JobState::kCancelled) {
    this->Cancel();
    return WriteOutcome::kCancelled;
  }
  if (stored.epoch != this->record.epoch) {
    return WriteOutcome::kLost;
  }
  if (!this->writing) {
    return WriteOutcome::kRetry;
  }
  const JobRecord& wanted = this->writing->record;
  const bool written = stored.done.Count() == wanted.done.Count() &&
                       stored.commits == wanted.commits && stored.declared == wanted.declared &&
                       stored.solo == wanted.solo && stored.state == wanted.state &&
                       stored.holder == wanted.holder &&
                       stored.deadline_at_risk == wanted.deadline_at_risk &&
                       stored.item_failures == wanted.item_failures;
  if (written) {
    this->OnWritten(new_etag);
    return WriteOutcome::kWritten;
  }
  this->etag = new_etag;
  this->writing->etag = new_etag;
  return WriteOutcome::kRetry;
}

}  // namespace lentilhead::batch::internal
