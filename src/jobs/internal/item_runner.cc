#include <algorithm>
#include <cmath>
#include <utility>

#include "jobs/internal/item_run.h"
#include "jobs/internal/unix_time.h"
#include "jobs/job_route.h"
#include "jobs/job_service.h"
#include "net/backoff.h"
#include "net/log_line.h"
#include "net/spawn.h"

namespace lentilhead::jobs {

namespace {

using internal::ItemRunOutcome;
using internal::ItemRunReport;
using net::asio::awaitable;
using std::chrono::milliseconds;

// Between checks whether an item may be sent, while a part of its prompt is held back.
constexpr milliseconds kHeldItemPause{1000};
constexpr milliseconds kRetryDelay{250};  // after an attempt that did not complete the item
// After an endpoint lacked the weights that the item asks for. New weights take seconds to load.
constexpr milliseconds kOtherWeightsDelay{2000};
// A route that is missing for longer has been removed; a single version of the configuration may
// lack it by mistake.
constexpr milliseconds kRouteGracePeriod{3000};
// Attempts at other endpoints that fail to confirm the end of an item, before the one that claimed
// it is asked again. The item would never end where all others are broken.
constexpr int kMaxUnansweredClaims = 3;

/// Whether an attempt completed an item by an answer that states its own end.
bool IsRoutine(ItemRunOutcome outcome, const ItemRunReport& report) {
  const std::optional<gateway::AnswerEnd>& end = report.answer_end;
  return outcome == ItemRunOutcome::kComplete && report.end == "complete" && end &&
         end->is_framed && end->behind == 0;
}

/// Whether an attempt that received events of an item claims that the output is whole.
bool IsEndClaim(const ItemProgress& progress, ItemRunOutcome outcome) {
  const bool is_claim =
      outcome == ItemRunOutcome::kEndUnproven || outcome == ItemRunOutcome::kEndUnframed ||
      (outcome == ItemRunOutcome::kEmptyUnframed && progress.end_claims.IsClaimedWithoutFraming());
  return is_claim && progress.last_event;
}

bool BeginsAnew(ItemRunOutcome outcome) {
  return outcome == ItemRunOutcome::kOverLimit || outcome == ItemRunOutcome::kBeginAnew ||
         outcome == ItemRunOutcome::kEmptyUnframed;
}

}  // namespace

bool JobService::ListsOtherEndpoint(const gateway::EndClaims& claims,
                                    const std::string& service) const {
  if (claims.Unanswered() >= kMaxUnansweredClaims) {
    return false;
  }
  const auto& endpoints = this->gateway.registry.All();
  const net::SteadyTime now = net::Now();
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const auto& endpoint) {
    const auto& [id, state] = endpoint;
    const bool is_suspect = now < state->suspect_until || state->ejected;
    return state->entry.service == service && state->in_group && state->listed && !is_suspect &&
           !state->is_leaving && !state->entry.is_draining && !claims.HasClaimed(id);
  });
}

std::vector<std::string> JobService::EndpointsToAvoid(const ItemStart& start) const {
  const gateway::EndClaims& claims = start.job->items.Progress(start.item).end_claims;
  const bool is_other_asked =
      claims.IsClaimedWithoutFraming() && this->ListsOtherEndpoint(claims, start.service);
  return is_other_asked ? claims.Endpoints() : std::vector<std::string>{};
}

ItemRunOutcome JobService::AfterEndClaim(ItemProgress& progress,
                                         const gateway::EndpointEntry& endpoint,
                                         ItemRunOutcome outcome) const {
  gateway::EndClaims& claims = progress.end_claims;
  const bool is_unframed = outcome == ItemRunOutcome::kEndUnframed;
  const gateway::EndClaims::Result claim =
      is_unframed ? claims.AddWithoutFraming(endpoint.id) : claims.Add(endpoint.id);
  if (claim == gateway::EndClaims::Result::kFirst) {
    return outcome;
  }
  if (claim == gateway::EndClaims::Result::kConfirmed) {
    return ItemRunOutcome::kComplete;
  }
  if (!claims.IsClaimedWithoutFraming()) {
    return ItemRunOutcome::kBeginAnew;
  }
  const bool is_other_asked = this->ListsOtherEndpoint(claims, endpoint.service);
  return is_other_asked ? ItemRunOutcome::kEndUnframed : ItemRunOutcome::kComplete;
}

void JobService::NoteRoute(const Job& job, RouteState state) {
  const bool was_unknown = std::exchange(job->is_route_unknown, state == RouteState::kUnknown);
  if (job->is_route_unknown && !was_unknown) {
    net::LogLine("job_waits_for_config")
        .With("job", job->claim.job)
        .With("config", this->gateway.routes.Version());
  }
  if (state != RouteState::kMissing) {
    job->route_missing_since = {};
    return;
  }
  const net::SteadyTime now = net::Now();
  if (job->route_missing_since == net::SteadyTime{}) {
    job->route_missing_since = now;
  }
  if (now - job->route_missing_since >= kRouteGracePeriod) {
    net::LogLine("job_items_given_up")
        .With("job", job->claim.job)
        .With("reason", "route_removed")
        .With("route", job->claim.route)
        .With("config", this->gateway.routes.Version());
    job->items.GiveUpRest();
  }
}

ItemCandidate JobService::CandidateOf(const internal::OwnedJob& job, std::size_t item) const {
  const std::int64_t due = job.claim.accepted_unix_ms + job.claim.results_due_ms;
  const ItemProgress& progress = job.items.Progress(item);
  return {milliseconds(due - internal::UnixTimeMs()),
          this->pace.LeftToRun(job.items.Spec(item).tokens, progress.last_event.value_or(0))};
}

void JobService::RecordPace(internal::OwnedJob& job, const internal::ItemAttempt& attempt,
                            bool completed) {
  const std::int64_t events = job.items.Progress(attempt.item).last_event.value_or(0);
  this->pace.RecordAttempt(events - attempt.events_before, net::Now() - attempt.started);
  if (completed) {
    this->pace.RecordCompleted(job.items.Spec(attempt.item).tokens, events);
  }
}

bool JobService::Fits(const internal::OwnedJob& job, std::size_t item, double memory,
                      net::SteadyTime now) const {
  if (std::isinf(memory)) {
    return true;
  }
  const ItemSpec& spec = job.items.Spec(item);
  if (spec.cost.prompt_tokens.value_or(0) > memory) {
    return false;  // saves the estimate of the output
  }
  const placement::CostQuery query = internal::ItemRun::CostQueryOf(job.claim, spec);
  return this->gateway.costs.Estimate(query, now).memory_tokens <= memory;
}

std::optional<std::size_t> JobService::NextAllowedItem(internal::OwnedJob& job, double memory,
                                                       net::SteadyTime now) {
  std::optional<std::size_t> item = job.items.NextItem(now);
  for (; item; item = job.items.NextItem(now, *item + 1)) {
    if (!this->Fits(job, *item, memory, now)) {
      continue;
    }
    const gateway::PartVerdict verdict =
        this->gateway.quarantine.Check(job.items.Spec(*item).keys, now);
    if (!std::holds_alternative<gateway::PartHeld>(verdict)) {
      return item;
    }
    job.items.Progress(*item).not_before = now + kHeldItemPause;
    this->gateway.metrics.GetCounter("job_items_held_total").Add();
  }
  return std::nullopt;
}

std::optional<JobService::ItemStart> JobService::NextStart(const internal::StartRoom& room) {
  std::optional<ItemStart> next;
  ItemCandidate best;
  const net::SteadyTime now = net::Now();
  for (const auto& [id, job] : this->owned) {
    if (job->is_handing_over || job->is_dropped) {
      continue;
    }
    const std::optional<std::size_t> first = job->items.NextItem(now);
    if (!first) {
      continue;
    }
    const gateway::Route* route =
        JobRoute::Find(this->gateway.routes, job->claim, job->items.Spec(*first).path);
    const RouteState state = JobRoute::StateOf(this->gateway.routes, job->claim, route);
    this->NoteRoute(job, state);
    if (state != RouteState::kPresent) {
      continue;
    }
    const std::string service = gateway::RouteTable::PickService(*route, net::RandomFraction());
    if (room.IsClosed(service)) {
      continue;
    }
    const std::optional<std::size_t> item =
        this->NextAllowedItem(*job, room.MemoryOf(service), now);
    if (!item) {
      continue;
    }
    const ItemCandidate candidate = this->CandidateOf(*job, *item);
    if (!next || ItemOrder::StartsBefore(candidate, best)) {
      next = ItemStart{job, *item, service};
      best = candidate;
    }
  }
  return next;
}

void JobService::AddCost(const ItemStart& start, gateway::ChoiceRequest& choice) const {
  const ItemSpec& spec = start.job->items.Spec(start.item);
  const ItemCandidate candidate = this->CandidateOf(*start.job, start.item);
  const auto before = start.job->items.Progress(start.item).last_event.value_or(0);
  gateway::internal::WorkMeter meter(this->gateway, start.service,
                                     internal::ItemRun::CostQueryOf(start.job->claim, spec),
                                     static_cast<double>(before));
  meter.AddTo(choice, this->gateway.routes.Config()->EndpointMemory(start.service), net::Now());
  choice.time_to_spare = candidate.until_due - candidate.left_to_run;
}

bool JobService::StartNextItem() {
  internal::StartRoom room;
  while (std::optional<ItemStart> next = this->NextStart(room)) {
    this->gateway.registry.Limits().Demand().RecordBatchWork(gateway::HashKey(next->service),
                                                             net::Now());
    const StartReason reason = this->DecideStart(*next);
    if (!IsStart(reason)) {
      this->NoteHeld(*next, reason);
      room.Close(next->service);
      continue;
    }
    gateway::ChoiceRequest choice{next->service, this->EndpointsToAvoid(*next),
                                  gateway::WorkClass::kBatch};
    this->AddCost(*next, choice);
    gateway::AdmissionOutcome admitted = this->gateway.admission.TryAcquire(choice);
    if (admitted.lease) {
      this->NoteStarted(*next, reason, admitted.lease.Endpoint().entry.id);
      this->StartItem(next->job, next->item, std::move(admitted.lease));
      return true;
    }
    if (!choice.excluded.empty()) {
      // The endpoints that are left out may have room for other items.
      next->job->items.Progress(next->item).not_before = net::Now() + kRetryDelay;
    } else if (admitted.free_memory) {
      const bool is_too_large = admitted.reason == gateway::NoChoice::kTooLarge;
      this->NoteHeld(*next, is_too_large ? StartReason::kTooLarge : StartReason::kNoMemory,
                     {choice.cost.memory_tokens, *admitted.free_memory});
      room.Limit(next->service, *admitted.free_memory);
    } else {
      room.Close(next->service);
    }
  }
  return false;
}

void JobService::StartItem(const Job& job, std::size_t item, gateway::EndpointLease lease) {
  const net::SteadyTime now = net::Now();
  const gateway::PartVerdict verdict =
      this->gateway.quarantine.Check(job->items.Spec(item).keys, now);
  if (const auto* probe = std::get_if<gateway::PartProbe>(&verdict)) {
    this->gateway.quarantine.RecordProbe(probe->part, now);
  }
  job->items.Progress(item).phase = ItemPhase::kRunning;
  auto attempt = std::make_shared<internal::ItemAttempt>();
  attempt->item = item;
  attempt->endpoint_key = lease.Endpoint().key;
  attempt->started = now;
  attempt->events_before = job->items.Progress(item).last_event.value_or(0);
  job->attempts.push_back(attempt);
  net::Spawn(this->gateway.executor, "run_item", this->RunItem(job, attempt, std::move(lease)));
}

awaitable<void> JobService::RunItem(Job job, std::shared_ptr<internal::ItemAttempt> attempt,
                                    gateway::EndpointLease lease) {
  const std::size_t item = attempt->item;
  const gateway::EndpointEntry entry = lease.Endpoint().entry;
  internal::ItemRun run(this->gateway, job->items, item, lease, attempt->cancel);
  const ItemRunReport report = co_await run.Run(job->claim);
  ItemRunOutcome outcome = report.outcome;
  lease.Release();
  job->attempts.remove(attempt);
  ItemProgress& progress = job->items.Progress(item);
  if (progress.phase == ItemPhase::kEnded || job->is_dropped) {
    co_return;
  }
  progress.phase = ItemPhase::kWaiting;
  if (!IsEndClaim(progress, outcome)) {
    progress.end_claims.RecordNoAnswer();
  } else {
    outcome = this->AfterEndClaim(progress, entry, outcome);
  }
  if (!BeginsAnew(outcome)) {
    this->RecordPace(*job, *attempt, outcome == ItemRunOutcome::kComplete);
  }
  if (outcome == ItemRunOutcome::kComplete) {
    job->items.End(item, ItemOutcome::kCompleted);
  } else if (outcome == ItemRunOutcome::kPermanentFailure) {
    job->items.End(item, ItemOutcome::kGivenUp);
  } else if (outcome == ItemRunOutcome::kRunFailed) {
    ++progress.failures;
    progress.output.clear();
    progress.last_event.reset();
    progress.end_claims.Clear();
    progress.not_before = net::Now() + kRetryDelay;
    if (progress.failures >= job->claim.max_attempts) {
      job->items.End(item, ItemOutcome::kGivenUp);
    } else {
      job->last_saved =
          {};  // save at once: failures count towards the limit at the next owner, too
    }
  } else if (!attempt->cancel.IsCancelled()) {
    progress.not_before =
        net::Now() + (outcome == ItemRunOutcome::kOtherWeights ? kOtherWeightsDelay : kRetryDelay);
  }
  if (BeginsAnew(outcome)) {
    progress.output.clear();
    progress.last_event.reset();
    progress.end_claims.Clear();
  }
  net::LogLine line("item_attempt_ended", IsRoutine(outcome, report)
                                              ? net::LogImportance::kRoutine
                                              : net::LogImportance::kNotable);
  line.With("job", job->claim.job)
      .With("item", job->items.Spec(item).id)
      .With("endpoint", entry.id)
      .With("step", NameOf(outcome))
      .With("end", report.end);
  if (report.answer_end) {
    line.With("ended_by", report.answer_end->sign);
  }
  line.With("stage", NameOf(report.stage))
      .With("last_event", progress.last_event.value_or(-1))
      .With("endpoint_ended", report.endpoint_ended)
      .With("failures", progress.failures)
      .With("cancelled", attempt->cancel.IsCancelled())
      .With("ms", net::ToMilliseconds(net::Now() - attempt->started).count())
      .With("body", report.answer_end ? report.answer_end->received : 0)
      .With("behind", report.answer_end ? report.answer_end->behind : 0)
      .With("parts", gateway::FormatPartKeys(job->items.Spec(item).keys.shared));
}

std::shared_ptr<internal::ItemAttempt> JobService::NextToYield(
    const gateway::EndpointState& endpoint) const {
  const bool is_by_work = this->gateway.registry.IsPlacedByWork(endpoint.entry.service);
  std::shared_ptr<internal::ItemAttempt> chosen;
  ItemCandidate chosen_item;
  for (const auto& [id, job] : this->owned) {
    for (const auto& attempt : job->attempts) {
      if (attempt->endpoint_key != endpoint.key || attempt->cancel.IsCancelled()) {
        continue;
      }
      const ItemCandidate item = this->CandidateOf(*job, attempt->item);
      const bool yields_before =
          chosen && (is_by_work ? ItemStartPolicy::YieldsBefore(item, chosen_item)
                                : ItemOrder::YieldsBefore(item, chosen_item));
      if (!chosen || yields_before) {
        chosen = attempt;
        chosen_item = item;
      }
    }
  }
  return chosen;
}

void JobService::YieldToOnline() {
  const net::SteadyTime now = net::Now();
  for (const auto& [id, endpoint] : this->gateway.registry.All()) {
    if (endpoint->own_batch == 0) {
      continue;
    }
    const int before =
        this->gateway.registry.BatchYieldingBefore(this->peers.Name(), endpoint->key);
    int excess = gateway::EndpointRegistry::BatchToYield(*endpoint, before, now);
    while (excess-- > 0) {
      const std::shared_ptr<internal::ItemAttempt> yielding = this->NextToYield(*endpoint);
      if (!yielding) {
        break;
      }
      net::LogLine("item_yielded", net::LogImportance::kRoutine)
          .With("endpoint", endpoint->entry.id)
          .With("own", endpoint->OwnTotal())
          .With("peers", endpoint->peer_online + endpoint->peer_batch)
          .With("slots", endpoint->entry.slots)
          .With("ran_ms", net::ToMilliseconds(now - yielding->started).count());
      yielding->cancel.Cancel();
      this->gateway.metrics.GetCounter("job_items_yielded_total").Add();
    }
  }
}

}  // namespace lentilhead::jobs
