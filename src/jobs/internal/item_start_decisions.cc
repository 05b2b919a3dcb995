#include <algorithm>

#include "jobs/job_service.h"
#include "net/log_line.h"

namespace lentilhead::jobs {

namespace {

using std::chrono::milliseconds;

// A node in a flood owns thousands of items; their sum changes little meanwhile.
constexpr milliseconds kSumPeriod{200};

}  // namespace

GroupUse JobService::GroupUseOf(const std::string& service) const {
  double slots = 0;
  GroupUse use;
  for (const auto& [id, state] : this->gateway.registry.All()) {
    if (!state->in_group || state->entry.service != service || !state->listed ||
        state->is_leaving || state->entry.is_draining) {
      continue;
    }
    slots += static_cast<double>(std::max(0, state->entry.slots)) / state->shared_by;
    use.online += state->own_online + state->peer_online;
    use.batch += state->Batch();
    ++use.endpoints;
  }
  use.slots = static_cast<int>(slots);
  return use;
}

void JobService::RecordOnline() {
  std::set<std::string> services;
  for (const auto& [id, state] : this->gateway.registry.All()) {
    if (state->in_group && !services.contains(state->entry.service) &&
        this->gateway.registry.IsPlacedByWork(state->entry.service)) {
      services.insert(state->entry.service);
    }
  }
  std::erase_if(this->starts,
                [&services](const auto& entry) { return !services.contains(entry.first); });
  for (const std::string& service : services) {
    this->starts[service].policy.RecordOnline(this->GroupUseOf(service).online, net::Now());
  }
}

void JobService::SumUpWork(internal::ItemStarts& starts) const {
  const net::SteadyTime now = net::Now();
  if (now - starts.summed_at < kSumPeriod) {
    return;
  }
  starts.summed_at = now;
  std::vector<QueuedWork> work;
  starts.work = {};
  for (const auto& [id, job] : this->owned) {
    QueuedWork sum;
    starts.work.runs += static_cast<int>(job->attempts.size());
    for (std::size_t item = 0; item < job->items.Size(); ++item) {
      const ItemPhase phase = job->items.Progress(item).phase;
      const ItemCandidate candidate = this->CandidateOf(*job, item);
      if (phase == ItemPhase::kEnded || !ItemOrder::CanBeOnTime(candidate)) {
        continue;
      }
      sum.until_due = candidate.until_due;
      sum.left_to_run += candidate.left_to_run;
      if (phase == ItemPhase::kWaiting) {
        starts.work.least_spare =
            std::min(starts.work.least_spare, candidate.until_due - candidate.left_to_run);
      }
    }
    work.push_back(sum);
  }
  starts.work.needed = ItemStartPolicy::SlotsNeeded(std::move(work));
}

StartReason JobService::DecideStart(const ItemStart& next) {
  const auto found = this->starts.find(next.service);
  if (found == this->starts.end()) {
    return StartReason::kUnlearned;
  }
  this->SumUpWork(found->second);
  return found->second.policy.Decide(this->CandidateOf(*next.job, next.item),
                                     this->GroupUseOf(next.service), found->second.work,
                                     net::Now());
}

void JobService::NoteHeld(const ItemStart& next, StartReason reason, MemoryNeed memory) {
  internal::ItemStarts& last = this->starts[next.service];
  const std::string& job = next.job->claim.job;
  if (last.held_job == job && last.held_item == next.item && last.held_reason == reason) {
    return;
  }
  last.held_job = job;
  last.held_item = next.item;
  last.held_reason = reason;
  this->gateway.metrics
      .GetCounter("job_item_starts_held_total", {{"reason", std::string(NameOf(reason))}})
      .Add();
  const GroupUse use = this->GroupUseOf(next.service);
  net::LogLine("item_start_held", net::LogImportance::kRoutine)
      .With("job", job)
      .With("item", next.job->items.Spec(next.item).id)
      .With("reason", NameOf(reason))
      .With("needed_tokens", memory.needed)
      .With("free_tokens", memory.free)
      .With("online", use.online)
      .With("batch", use.batch)
      .With("below_peak", last.policy.SlotsBelowPeak(use))
      .With("needed", static_cast<int>(last.work.needed))
      .With("slots", use.slots);
}

void JobService::NoteStarted(const ItemStart& next, StartReason reason,
                             const std::string& endpoint) {
  const auto found = this->starts.find(next.service);
  if (found == this->starts.end()) {
    return;
  }
  found->second.held_job.clear();
  this->gateway.metrics
      .GetCounter("job_item_starts_total", {{"reason", std::string(NameOf(reason))}})
      .Add();
  ++found->second.work.runs;
  const GroupUse use = this->GroupUseOf(next.service);
  net::LogLine("item_start_chosen", net::LogImportance::kRoutine)
      .With("job", next.job->claim.job)
      .With("item", next.job->items.Spec(next.item).id)
      .With("endpoint", endpoint)
      .With("reason", NameOf(reason))
      .With("online", use.online)
      .With("batch", use.batch)
      .With("below_peak", found->second.policy.SlotsBelowPeak(use))
      .With("needed", static_cast<int>(found->second.work.needed))
      .With("slots", use.slots);
}

}  // namespace lentilhead::jobs
