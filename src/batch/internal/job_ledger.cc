#include "batch/internal/job_ledger.h"

#include <algorithm>
#include <utility>

#include "batch/internal/invariant.h"

namespace lentilhead::batch::internal {

JobRecord JobLedger::ClaimOf(const JobRecord& stored, const std::string& holder,
                             const LedgerLimits& limits) {
  JobRecord claimed = stored;
  claimed.epoch += 1;
  claimed.holder = holder;
  claimed.declared = DeclaredAfter(stored, limits);
  return claimed;
}

std::size_t JobLedger::DeclaredAfter(const JobRecord& record, const LedgerLimits& limits) {
  const std::size_t open = record.declared - record.done.Count();
  const std::size_t added = limits.window_items - std::min(limits.window_items, open);
  return std::min(record.items, record.declared + added);
}

JobLedger::JobLedger(const JobRecord& before, JobRecord claimed, std::string etag,
                     LedgerLimits limits, framework::MonotonicTime now)
    : limits(limits),
      record(std::move(claimed)),
      etag(std::move(etag)),
      items(this->record.done, before.declared, this->record.epoch),
      after_handover(before.holder.empty()),
      claimed_at(now),
      estimate(now) {}

std::vector<HeldItem> JobLedger::OnHeld(const std::string& puller, std::uint64_t sequence,
                                        const std::vector<HeldItem>& held,
                                        framework::MonotonicTime now) {
  Puller& last_known = this->pullers[puller];
  if (sequence <= last_known.sequence) {
    return {};
  }
  last_known = {sequence, now};
  std::vector<HeldItem> sorted = held;
  std::sort(sorted.begin(), sorted.end());
  for (const HeldItem& given : this->items.HeldBy(puller, sequence)) {
    if (!std::binary_search(sorted.begin(), sorted.end(), given)) {
      this->Requeue(given.item);
    }
  }
  std::vector<HeldItem> dropped;
  for (const HeldItem& item : sorted) {
    if (this->cancelled || item.item >= this->items.Size()) {
      dropped.push_back(item);
      continue;
    }
    const ItemTable::Holding* holding = this->items.HoldingOf(item.item);
    if (holding != nullptr && holding->attempt == item.attempt) {
      continue;
    }
    if (this->items.StateOf(item.item) == ItemState::kUnconfirmed) {
      this->items.Adopt(item, puller, sequence);
    } else {
      dropped.push_back(item);
    }
  }
  return dropped;
}

std::vector<ItemGrant> JobLedger::GrantItems(const std::string& puller, std::uint64_t sequence,
                                             std::size_t max_items, std::size_t max_solo_items,
                                             const ItemTable::Readable& readable) {
  std::vector<ItemGrant> grants;
  if (this->cancelled || this->handing_over) {
    return grants;
  }
  for (const std::uint32_t item : this->record.solo) {
    if (grants.size() >= max_solo_items) {
      break;
    }
    if (this->items.StateOf(item) == ItemState::kSuspect && readable(item)) {
      grants.push_back(this->items.GrantSuspect(item, puller, sequence));
    }
  }
  for (std::size_t count = 0; count < max_items; ++count) {
    std::optional<ItemGrant> grant =
        this->items.GrantNext(puller, sequence, this->record.declared, readable);
    if (!grant) {
      break;
    }
    grants.push_back(*std::move(grant));
  }
  return grants;
}

void JobLedger::OnResult(const std::string& puller, ItemResult result,
                         framework::MonotonicTime now) {
  if (this->cancelled || result.item >= this->items.Size() ||
      this->items.StateOf(result.item) >= ItemState::kEnding) {
    return;
  }
  const ItemTable::Holding* holding = this->items.HoldingOf(result.item);
  const bool current =
      holding != nullptr && holding->attempt == result.attempt && holding->puller == puller;
  const bool unconfirmed = this->items.StateOf(result.item) == ItemState::kUnconfirmed;
  switch (result.outcome) {
    case AttemptOutcome::kSucceeded:
      this->End(result.item, ResultKind::kSucceeded, std::move(result.line), now);
      return;
    case AttemptOutcome::kRejected:
      this->End(result.item, ResultKind::kFailed, std::move(result.line), now);
      return;
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kPreempted:
      if (current || unconfirmed) {
        this->items.StorePartial(result.item, std::move(result.partial));
        this->Requeue(result.item);
      }
      return;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kLost:
    case AttemptOutcome::kTimedOut:
      if (current || unconfirmed) {
        this->OnFailure(result.item, result.outcome, std::move(result.line), now);
      }
      return;
  }
}

void JobLedger::Requeue(std::uint32_t item) {
  const auto failures = this->record.item_failures.find(item);
  const bool suspect = failures != this->record.item_failures.end() && failures->second.suspect;
  this->items.MoveTo(item, suspect ? ItemState::kSuspect : ItemState::kQueued);
}

void JobLedger::OnFailure(std::uint32_t item, AttemptOutcome outcome, std::string line,
                          framework::MonotonicTime now) {
  if (this->record.at_most_once && outcome == AttemptOutcome::kFailed) {
    this->EndFailed(item, std::move(line), now);
    return;
  }
  if (this->record.at_most_once) {
    this->BeginEnding(item, EndReason::kOutcomeUnknown);
    return;
  }
  const ItemTable::Holding* holding = this->items.HoldingOf(item);
  const bool alone = holding != nullptr && holding->solo;
  ItemFailures& failures = this->record.item_failures[item];
  // If the item shared the lost endpoint with others, it may not have caused the loss. Only an
  // attempt that ran alone counts.
  if (outcome != AttemptOutcome::kLost || alone) {
    failures.attempts += 1;
  }
  failures.suspect = failures.suspect || outcome == AttemptOutcome::kLost;
  if (failures.attempts < this->limits.max_attempts) {
    this->Requeue(item);
    return;
  }
  this->EndFailed(item, std::move(line), now);
}

void JobLedger::EndFailed(std::uint32_t item, std::string line, framework::MonotonicTime now) {
  if (line.empty()) {
    this->BeginEnding(item, EndReason::kAttemptsExhausted);
    return;
  }
  this->End(item, ResultKind::kFailed, std::move(line), now);
}

void JobLedger::OnHolderLost(std::uint32_t item) {
  if (this->record.at_most_once) {
    this->BeginEnding(item, EndReason::kOutcomeUnknown);
    return;
  }
  const bool alone = std::find(this->record.solo.begin(), this->record.solo.end(), item) !=
                     this->record.solo.end();
  ItemFailures& failures = this->record.item_failures[item];
  failures.attempts += alone ? 1 : 0;
  failures.suspect = true;
  if (failures.attempts >= this->limits.max_attempts) {
    this->BeginEnding(item, EndReason::kAttemptsExhausted);
    return;
  }
  this->items.MoveTo(item, ItemState::kSuspect);
}

void JobLedger::OnTime(framework::MonotonicTime now, framework::WallTime wall_now) {
  if (this->cancelled) {
    return;
  }
  if (!this->unconfirmed_resolved && now >= this->claimed_at + this->limits.report_wait) {
    this->ResolveUnconfirmed();
  }
  for (const auto& [name, puller] : this->pullers) {
    if (now < puller.last_seen + this->limits.puller_timeout) {
      continue;
    }
    for (const HeldItem& held : this->items.HeldBy(name, puller.sequence + 1)) {
      this->OnHolderLost(held.item);
    }
  }
  this->estimate.OnTime(now);
  const auto remaining = this->estimate.TimeFor(this->record.items - this->record.done.Count() -
                                                this->uncommitted.size());
  if (remaining && wall_now + *remaining > this->record.deadline) {
    this->at_risk = true;
  }
  if (wall_now > this->record.deadline && !this->late) {
    this->late = true;
    this->at_risk = true;
  }
  if (this->late && this->record.late == LatePolicy::kDrop) {
    this->EndLateItems();
  }
}

void JobLedger::ResolveUnconfirmed() {
  this->unconfirmed_resolved = true;
  for (const std::uint32_t item : this->items.ItemsIn(ItemState::kUnconfirmed)) {
    if (this->after_handover) {
      this->Requeue(item);
    } else {
      this->OnHolderLost(item);
    }
  }
}

void JobLedger::EndLateItems() {
  for (const ItemState state : {ItemState::kUngranted, ItemState::kQueued, ItemState::kSuspect}) {
    for (const std::uint32_t item : this->items.ItemsIn(state)) {
      this->BeginEnding(item, EndReason::kDeadlinePassed);
    }
  }
}

void JobLedger::BeginEnding(std::uint32_t item, EndReason reason) {
  this->items.MoveTo(item, ItemState::kEnding);
  this->ending_reasons[item] = reason;
}

std::vector<EndingItem> JobLedger::EndingItems() const {
  std::vector<EndingItem> list;
  list.reserve(this->ending_reasons.size());
  for (const auto& [item, reason] : this->ending_reasons) {
    list.push_back({item, reason});
  }
  return list;
}

void JobLedger::EndItem(std::uint32_t item, std::string line, framework::MonotonicTime now) {
  const auto found = this->ending_reasons.find(item);
  if (found == this->ending_reasons.end()) {
    return;
  }
  const bool unknown = found->second == EndReason::kOutcomeUnknown;
  this->ending_reasons.erase(found);
  this->End(item, unknown ? ResultKind::kUnknown : ResultKind::kFailed, std::move(line), now);
}

void JobLedger::End(std::uint32_t item, ResultKind kind, std::string line,
                    framework::MonotonicTime now) {
  this->items.MoveTo(item, ItemState::kEnded);
  if (this->uncommitted.empty()) {
    this->oldest_uncommitted = now;
  }
  this->uncommitted_bytes += line.size();
  this->uncommitted.push_back({item, kind, std::move(line), now});
  this->estimate.OnEnded(1);
}

void JobLedger::Cancel() {
  this->cancelled = true;
  this->uncommitted.clear();
  this->uncommitted_bytes = 0;
  this->ending_reasons.clear();
  this->writing.reset();
}

std::vector<std::uint32_t> JobLedger::Upcoming(std::size_t max_items) const {
  if (this->cancelled || this->handing_over) {
    return {};
  }
  return this->items.Upcoming(this->record.declared, max_items);
}

std::size_t JobLedger::PendingSolo() const {
  const auto& solo = this->record.solo;
  return static_cast<std::size_t>(std::count_if(
      solo.begin(), solo.end(),
      [this](std::uint32_t item) { return this->items.StateOf(item) == ItemState::kSuspect; }));
}

std::size_t JobLedger::Pending() const {
  const std::size_t declared = std::max(this->record.declared, this->items.NextUngranted());
  return this->items.CountOf(ItemState::kQueued) + declared - this->items.NextUngranted();
}

std::chrono::milliseconds JobLedger::Laxity(framework::WallTime wall_now) const {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->record.deadline - wall_now);
  const auto work = this->estimate.TimeFor(this->record.items - this->record.done.Count() -
                                           this->uncommitted.size());
  return left - work.value_or(std::chrono::milliseconds(0));
}

}  // namespace lentilhead::batch::internal
