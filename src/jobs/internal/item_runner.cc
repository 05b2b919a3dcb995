#include <algorithm>

#include "gateway/internal/answer_stream.h"
#include "jobs/internal/unix_time.h"
#include "jobs/job_service.h"
#include "net/backoff.h"
#include "net/log_line.h"
#include "net/spawn.h"
#include "platform/job_codec.h"
#include "platform/request_codec.h"

namespace lentilhead::jobs {

namespace {

using gateway::internal::AnswerHead;
using gateway::internal::AnswerStream;
using gateway::internal::AttemptLimits;
using gateway::internal::BodyPiece;
using gateway::internal::BodyState;
using gateway::internal::EndpointAttempt;
using gateway::internal::StreamEvent;
using gateway::internal::StreamPart;
using gateway::internal::StreamState;
using net::asio::awaitable;
using std::chrono::milliseconds;

// The attempt ends when the endpoint completes no further event for this long.
constexpr milliseconds kItemEventTimeout{4000};
constexpr milliseconds kRetryDelay{250};  // after an attempt that did not complete the item
// A route that is missing for longer has been removed; a single version of the configuration may
// lack it by mistake.
constexpr milliseconds kRouteGracePeriod{3000};
// An item whose last event was received, but not the end of its answer, is resumed in vain.
constexpr int kEmptyAnswersAtEnd = 2;

/// How an attempt at an item ended.
enum class ItemAttemptOutcome {
  kComplete,          ///< the output is whole
  kResume,            ///< the next attempt resumes after the last event received
  kEmptyAnswer,       ///< as kResume; a successful answer ended before any event
  kRunFailed,         ///< the endpoint reports that the run failed
  kPermanentFailure,  ///< the endpoint reports that the item can never be completed
  kOverLimit,         ///< the output is too large; the next attempt begins anew
};

std::string_view NameOf(ItemAttemptOutcome outcome) {
  switch (outcome) {
    case ItemAttemptOutcome::kComplete:
      return "whole";
    case ItemAttemptOutcome::kResume:
      return "goes_on";
    case ItemAttemptOutcome::kEmptyAnswer:
      return "empty_answer";
    case ItemAttemptOutcome::kRunFailed:
      return "failed_run";
    case ItemAttemptOutcome::kPermanentFailure:
      return "impossible";
    case ItemAttemptOutcome::kOverLimit:
      return "over_limit";
  }
  return "unknown";
}

/// Appends the data of events and skips those received before. @return false when one is missing.
bool AppendEvents(ItemProgress& progress, std::vector<StreamEvent> events) {
  for (StreamEvent& event : events) {
    if (!event.has_content) {
      continue;
    }
    if (event.id && progress.last_event) {
      if (*event.id <= *progress.last_event) {
        continue;
      }
      if (*event.id != *progress.last_event + 1) {
        return false;
      }
    }
    const bool first = !progress.last_event && progress.output.empty();
    if (!first) {
      progress.output.push_back('\n');
    }
    progress.output += gateway::internal::DataOf(event.bytes);
    if (event.id) {
      progress.last_event = event.id;
    }
  }
  return true;
}

/// Reads the events of an item until its stream ends.
awaitable<ItemAttemptOutcome> ReadItem(AnswerStream stream, ItemTracker& items, std::size_t item,
                                       gateway::EndpointState& endpoint,
                                       gateway::CancelScope& cancel) {
  net::SteadyTime last_arrival;
  net::SteadyTime waiting_since = net::Now();
  while (true) {
    StreamPart part = co_await stream.Read(waiting_since + kItemEventTimeout);
    if (items.Progress(item).phase == ItemPhase::kEnded) {
      co_return ItemAttemptOutcome::kResume;
    }
    const net::SteadyTime arrival = net::Now();
    if (!part.events.empty()) {
      if (last_arrival != net::SteadyTime{}) {
        gateway::EndpointFeedback::RecordUnitLatency(
            endpoint, (arrival - last_arrival) / static_cast<int>(part.events.size()));
      }
      last_arrival = arrival;
    }
    const std::size_t bytes_before = items.Progress(item).output.size();
    const std::optional<std::int64_t> event_before = items.Progress(item).last_event;
    const bool follows = AppendEvents(items.Progress(item), std::move(part.events));
    if (!follows || cancel.IsCancelled()) {
      co_return ItemAttemptOutcome::kResume;
    }
    const std::size_t output_bytes = items.Progress(item).output.size();
    if (output_bytes != bytes_before || items.Progress(item).last_event != event_before) {
      waiting_since = arrival;
    }
    if (output_bytes > gateway::AnswerLimits::kMaxItemOutputBytes) {
      stream.AbortOverLimit(gateway::AnswerBound::kItemOutput, output_bytes);
      gateway::EndpointFeedback::RecordFailure(endpoint, net::Now(), false);
      co_return ItemAttemptOutcome::kOverLimit;
    }
    if (part.state == StreamState::kComplete) {
      co_return ItemAttemptOutcome::kComplete;
    }
    if (part.state != StreamState::kMore) {
      gateway::EndpointFeedback::RecordFailure(endpoint, net::Now(),
                                               part.state == StreamState::kTimedOut);
      co_return part.state == StreamState::kEmpty ? ItemAttemptOutcome::kEmptyAnswer
                                                  : ItemAttemptOutcome::kResume;
    }
  }
}

/// Sends an item to an endpoint once and reads the answer.
awaitable<ItemAttemptOutcome> AttemptItem(gateway::Gateway& gateway, ItemTracker& items,
                                          std::size_t item, const std::string& host,
                                          gateway::EndpointLease& lease,
                                          gateway::CancelScope& cancel) {
  const gateway::InferenceRequest request = platform::EncodeItemRequest(items.Spec(item), host);
  gateway::AttemptOptions options;
  options.endpoint_id = lease.Endpoint().entry.id;
  options.last_event_id = items.Progress(item).last_event;
  net::Request message = platform::EncodeAttempt(request, options);
  gateway::EndpointFeedback::RecordAttempt(lease.Endpoint(), net::Now());
  EndpointAttempt attempt(gateway, lease.Shared(), cancel);
  AttemptLimits limits{net::Now() + kItemEventTimeout, milliseconds::max()};
  EndpointAttempt::StartOutcome outcome =
      co_await attempt.Start(std::move(message), request.id, limits);
  if (cancel.IsCancelled()) {
    co_return ItemAttemptOutcome::kResume;
  }
  if (const auto* failure = std::get_if<gateway::AttemptFailure>(&outcome)) {
    if (*failure != gateway::AttemptFailure::kStale) {
      gateway::EndpointFeedback::RecordFailure(lease.Endpoint(), net::Now(),
                                               *failure != gateway::AttemptFailure::kUnknown);
    }
    co_return ItemAttemptOutcome::kResume;
  }
  const AnswerHead answer = std::move(std::get<AnswerHead>(outcome));
  if (answer.decoded.load) {
    gateway::EndpointFeedback::RecordLoad(lease.Endpoint(), *answer.decoded.load, net::Now());
  }
  const unsigned code = answer.head.result_int();
  if (code / 100 == 2 && answer.decoded.is_signed) {
    gateway::EndpointFeedback::RecordAnswer(lease.Endpoint(), net::Now());
    co_return co_await ReadItem(AnswerStream(attempt, answer.framing), items, item,
                                lease.Endpoint(), cancel);
  }
  BodyPiece rest = co_await attempt.ReadRest(gateway::AnswerLimits::kMaxErrorBodyBytes,
                                             net::Now() + kItemEventTimeout);
  if (rest.state == BodyState::kMore) {
    attempt.AbortOverLimit(gateway::AnswerBound::kErrorBody, rest.bytes.size());
    rest.state = BodyState::kOverLimit;
  }
  if (rest.state == BodyState::kOverLimit) {
    gateway::EndpointFeedback::RecordFailure(lease.Endpoint(), net::Now(), false);
  }
  if (answer.decoded.other_instance) {
    gateway::EndpointFeedback::RecordReplacement(lease.Endpoint(), net::Now());
  }
  if (answer.decoded.not_executed || answer.decoded.other_instance) {
    co_return ItemAttemptOutcome::kResume;
  }
  if (rest.state != BodyState::kEnd) {
    co_return ItemAttemptOutcome::kResume;
  }
  if (code == 422) {
    co_return ItemAttemptOutcome::kPermanentFailure;
  }
  co_return code == 500 ? ItemAttemptOutcome::kRunFailed : ItemAttemptOutcome::kResume;
}

}  // namespace

void JobService::GiveUpIfRouteMissing(const Job& job, bool exists) {
  const net::SteadyTime now = net::Now();
  if (exists) {
    job->route_missing_since = {};
    return;
  }
  if (job->route_missing_since == net::SteadyTime{}) {
    job->route_missing_since = now;
  }
  if (now - job->route_missing_since >= kRouteGracePeriod) {
    net::LogLine("job_items_given_up")
        .With("job", job->claim.job)
        .With("reason", "route_removed")
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

std::optional<JobService::ItemStart> JobService::NextStart(const std::set<std::string>& full) {
  std::optional<ItemStart> next;
  ItemCandidate best;
  const net::SteadyTime now = net::Now();
  for (const auto& [id, job] : this->owned) {
    if (job->is_handing_over || job->is_dropped) {
      continue;
    }
    const std::optional<std::size_t> item = job->items.NextItem(now);
    if (!item) {
      continue;
    }
    const gateway::Route* route =
        this->gateway.routes.Match(job->claim.host, job->items.Spec(*item).path);
    const bool exists = route != nullptr && route->kind == gateway::RouteKind::kBatch;
    this->GiveUpIfRouteMissing(job, exists);
    if (!exists) {
      continue;
    }
    const std::string service = gateway::RouteTable::PickService(*route, net::RandomFraction());
    if (full.contains(service)) {
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

bool JobService::StartNextItem() {
  std::set<std::string> full;  // services without a free slot
  while (std::optional<ItemStart> next = this->NextStart(full)) {
    gateway::ChoiceRequest choice{next->service, {}, gateway::WorkClass::kBatch};
    gateway::AdmissionOutcome admitted = this->gateway.admission.TryAcquire(choice);
    if (admitted.lease) {
      this->StartItem(next->job, next->item, std::move(admitted.lease));
      return true;
    }
    full.insert(std::move(next->service));
  }
  return false;
}

void JobService::StartItem(const Job& job, std::size_t item, gateway::EndpointLease lease) {
  job->items.Progress(item).phase = ItemPhase::kRunning;
  auto attempt = std::make_shared<internal::ItemAttempt>();
  attempt->item = item;
  attempt->endpoint_key = lease.Endpoint().key;
  attempt->started = net::Now();
  attempt->events_before = job->items.Progress(item).last_event.value_or(0);
  job->attempts.push_back(attempt);
  net::Spawn(this->gateway.executor, "run_item", this->RunItem(job, attempt, std::move(lease)));
}

awaitable<void> JobService::RunItem(Job job, std::shared_ptr<internal::ItemAttempt> attempt,
                                    gateway::EndpointLease lease) {
  const std::size_t item = attempt->item;
  const std::string endpoint = lease.Endpoint().entry.id;
  ItemAttemptOutcome outcome = co_await AttemptItem(this->gateway, job->items, item,
                                                    job->claim.host, lease, attempt->cancel);
  lease.Release();
  job->attempts.remove(attempt);
  ItemProgress& progress = job->items.Progress(item);
  if (progress.phase == ItemPhase::kEnded || job->is_dropped) {
    co_return;
  }
  progress.phase = ItemPhase::kWaiting;
  progress.empty_answers =
      outcome == ItemAttemptOutcome::kEmptyAnswer ? progress.empty_answers + 1 : 0;
  if (progress.last_event && progress.empty_answers >= kEmptyAnswersAtEnd) {
    outcome = ItemAttemptOutcome::kComplete;
  }
  if (outcome != ItemAttemptOutcome::kOverLimit) {
    this->RecordPace(*job, *attempt, outcome == ItemAttemptOutcome::kComplete);
  }
  if (outcome == ItemAttemptOutcome::kComplete) {
    job->items.End(item, ItemOutcome::kCompleted);
  } else if (outcome == ItemAttemptOutcome::kPermanentFailure) {
    job->items.End(item, ItemOutcome::kGivenUp);
  } else if (outcome == ItemAttemptOutcome::kRunFailed) {
    ++progress.failures;
    progress.output.clear();
    progress.last_event.reset();
    progress.not_before = net::Now() + kRetryDelay;
    if (progress.failures >= job->claim.max_attempts) {
      job->items.End(item, ItemOutcome::kGivenUp);
    } else {
      job->last_saved =
          {};  // save at once: failures count towards the limit at the next owner, too
    }
  } else if (!attempt->cancel.IsCancelled()) {
    progress.not_before = net::Now() + kRetryDelay;
  }
  if (outcome == ItemAttemptOutcome::kOverLimit) {
    progress.output.clear();
    progress.last_event.reset();
  }
  net::LogLine("item_attempt_ended", outcome == ItemAttemptOutcome::kComplete
                                         ? net::LogImportance::kRoutine
                                         : net::LogImportance::kNotable)
      .With("job", job->claim.job)
      .With("item", job->items.Spec(item).id)
      .With("endpoint", endpoint)
      .With("step", NameOf(outcome))
      .With("cancelled", attempt->cancel.IsCancelled())
      .With("last_event", progress.last_event.value_or(-1))
      .With("failures", progress.failures)
      .With("ms", net::ToMilliseconds(net::Now() - attempt->started).count());
}

std::shared_ptr<internal::ItemAttempt> JobService::NextToYield(std::uint32_t endpoint) const {
  std::shared_ptr<internal::ItemAttempt> chosen;
  ItemCandidate chosen_item;
  for (const auto& [id, job] : this->owned) {
    for (const auto& attempt : job->attempts) {
      if (attempt->endpoint_key != endpoint || attempt->cancel.IsCancelled()) {
        continue;
      }
      const ItemCandidate item = this->CandidateOf(*job, attempt->item);
      if (!chosen || ItemOrder::YieldsBefore(item, chosen_item)) {
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
      const std::shared_ptr<internal::ItemAttempt> yielding = this->NextToYield(endpoint->key);
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
