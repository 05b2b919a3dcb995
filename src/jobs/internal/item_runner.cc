#include <algorithm>
#include <limits>

#include "gateway/internal/endpoint_attempt.h"
#include "gateway/internal/event_splitter.h"
#include "jobs/job_service.h"
#include "net/log_line.h"
#include "net/retry_pause.h"
#include "platform/job_codec.h"
#include "platform/request_codec.h"

namespace lentilhead::jobs {

namespace {

using gateway::internal::AnswerHead;
using gateway::internal::AttemptLimits;
using gateway::internal::BodyPiece;
using gateway::internal::BodyState;
using gateway::internal::EndpointAttempt;
using gateway::internal::EventSplitter;
using gateway::internal::StreamEvent;
using net::asio::awaitable;
using std::chrono::milliseconds;

constexpr milliseconds kItemSilence{4000};  // an endpoint without an event is given up
constexpr milliseconds kRetryPause{250};    // after an attempt that did not run to its end
constexpr milliseconds kRouteGrace{3000};   // a route may be missing in one version only
constexpr std::size_t kFailureBodyBytes = 64 << 10;

/// What became of one attempt at an item.
enum class ItemStep {
  kWhole,       ///< the output is whole
  kGoOn,        ///< the item goes on after its last event
  kFailedRun,   ///< the endpoint says that the run failed
  kImpossible,  ///< the endpoint says that the item can never be done
};

std::string_view NameOf(ItemStep step) {
  switch (step) {
    case ItemStep::kWhole:
      return "whole";
    case ItemStep::kGoOn:
      return "goes_on";
    case ItemStep::kFailedRun:
      return "failed_run";
    case ItemStep::kImpossible:
      return "impossible";
  }
  return "unknown";
}

/// Takes over events that follow on the ones before. @return false when one is missing.
bool TakeEvents(ItemProgress& progress, std::vector<StreamEvent> events) {
  for (StreamEvent& event : events) {
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
awaitable<ItemStep> ReadItem(EndpointAttempt& attempt, JobLedger& ledger, std::size_t item,
                             gateway::EndpointState& endpoint, gateway::CancelScope& cancel) {
  EventSplitter cutter;
  net::SteadyTime last_arrival;
  while (true) {
    BodyPiece piece = co_await attempt.ReadPiece(net::Now() + kItemSilence);
    if (ledger.Progress(item).phase == ItemPhase::kEnded) {
      co_return ItemStep::kGoOn;
    }
    std::vector<StreamEvent> events = cutter.Add(piece.bytes);
    const net::SteadyTime arrival = net::Now();
    if (!events.empty()) {
      if (last_arrival != net::SteadyTime{}) {
        gateway::EndpointFeedback::RecordUnitLatency(
            endpoint, (arrival - last_arrival) / static_cast<int>(events.size()));
      }
      last_arrival = arrival;
    }
    const bool follows = TakeEvents(ledger.Progress(item), std::move(events));
    if (!follows || cancel.IsCancelled()) {
      co_return ItemStep::kGoOn;
    }
    if (piece.state == BodyState::kEnd) {
      co_return cutter.Rest().empty() ? ItemStep::kWhole : ItemStep::kGoOn;
    }
    if (piece.state != BodyState::kMore) {
      gateway::EndpointFeedback::RecordFailure(endpoint, net::Now(),
                                               piece.state == BodyState::kTimedOut);
      co_return ItemStep::kGoOn;
    }
  }
}

/// Makes one attempt at an item.
awaitable<ItemStep> TryItem(gateway::Gateway& gateway, JobLedger& ledger, std::size_t item,
                            const std::string& host, gateway::EndpointLease& lease,
                            gateway::CancelScope& cancel) {
  const gateway::InferenceRequest request = platform::EncodeItemRequest(ledger.Spec(item), host);
  gateway::AttemptOptions options;
  options.endpoint_id = lease.Endpoint().entry.id;
  options.last_event_id = ledger.Progress(item).last_event;
  net::Request message = platform::EncodeAttempt(request, options);
  gateway::EndpointFeedback::RecordAttempt(lease.Endpoint(), net::Now());
  EndpointAttempt attempt(gateway.executor, gateway.pool, lease.Shared(), cancel);
  AttemptLimits limits{net::Now() + kItemSilence, milliseconds::max()};
  EndpointAttempt::StartOutcome outcome =
      co_await attempt.Start(std::move(message), request.id, limits);
  if (cancel.IsCancelled()) {
    co_return ItemStep::kGoOn;
  }
  if (const auto* failure = std::get_if<gateway::AttemptFailure>(&outcome)) {
    if (*failure != gateway::AttemptFailure::kStale) {
      gateway::EndpointFeedback::RecordFailure(lease.Endpoint(), net::Now(),
                                               *failure != gateway::AttemptFailure::kUnknown);
    }
    co_return ItemStep::kGoOn;
  }
  const AnswerHead answer = std::move(std::get<AnswerHead>(outcome));
  if (answer.decoded.load) {
    gateway::EndpointFeedback::RecordLoad(lease.Endpoint(), *answer.decoded.load, net::Now());
  }
  const unsigned code = answer.head.result_int();
  if (code / 100 == 2 && answer.decoded.is_signed) {
    gateway::EndpointFeedback::RecordAnswer(lease.Endpoint(), net::Now());
    co_return co_await ReadItem(attempt, ledger, item, lease.Endpoint(), cancel);
  }
  BodyPiece rest = co_await attempt.ReadRest(kFailureBodyBytes, net::Now() + kItemSilence);
  if (answer.decoded.other_instance) {
    gateway::EndpointFeedback::RecordReplacement(lease.Endpoint(), net::Now());
  }
  if (answer.decoded.not_executed || answer.decoded.other_instance) {
    co_return ItemStep::kGoOn;
  }
  if (rest.state != BodyState::kEnd) {
    co_return ItemStep::kGoOn;
  }
  if (code == 422) {
    co_return ItemStep::kImpossible;
  }
  co_return code == 500 ? ItemStep::kFailedRun : ItemStep::kGoOn;
}

}  // namespace

void JobService::WatchRoute(const Job& job, bool exists) {
  const net::SteadyTime now = net::Now();
  if (exists) {
    job->route_missing_since = {};
    return;
  }
  if (job->route_missing_since == net::SteadyTime{}) {
    job->route_missing_since = now;
  }
  if (now - job->route_missing_since >= kRouteGrace) {
    net::LogLine("job_items_given_up")
        .With("job", job->claim.job)
        .With("reason", "route_removed")
        .With("config", this->gateway.routes.Version());
    job->ledger.GiveUpRest();
  }
}

bool JobService::StartNextItem() {
  Job best;
  std::size_t best_item = 0;
  std::int64_t best_due = std::numeric_limits<std::int64_t>::max();
  const net::SteadyTime now = net::Now();
  for (const auto& [id, job] : this->owned) {
    const std::int64_t due = job->claim.accepted_unix_ms + job->claim.results_due_ms;
    if (due >= best_due || job->handing_over || job->is_lost) {
      continue;
    }
    if (const std::optional<std::size_t> item = job->ledger.NextItem(now)) {
      best = job;
      best_item = *item;
      best_due = due;
    }
  }
  if (!best) {
    return false;
  }
  const gateway::Route* route =
      this->gateway.routes.Match(best->claim.host, best->ledger.Spec(best_item).path);
  const bool exists = route != nullptr && route->kind == gateway::RouteKind::kBatch;
  this->WatchRoute(best, exists);
  if (!exists) {
    return false;
  }
  gateway::ChoiceRequest choice{
      gateway::RouteTable::PickService(*route, net::RandomShare()), {}, gateway::WorkClass::kBatch};
  gateway::AdmissionOutcome admitted = this->gateway.admission.TryAcquire(choice);
  if (!admitted.lease) {
    return false;
  }
  this->StartItem(best, best_item, std::move(admitted.lease));
  return true;
}

void JobService::StartItem(const Job& job, std::size_t item, gateway::EndpointLease lease) {
  job->ledger.Progress(item).phase = ItemPhase::kRunning;
  auto run = std::make_shared<internal::ItemRun>();
  run->item = item;
  run->endpoint_key = lease.Endpoint().key;
  run->started = net::Now();
  job->runs.push_back(run);
  net::asio::co_spawn(this->gateway.executor, this->RunItem(job, run, std::move(lease)),
                      net::asio::detached);
}

awaitable<void> JobService::RunItem(Job job, std::shared_ptr<internal::ItemRun> run,
                                    gateway::EndpointLease lease) {
  const std::size_t item = run->item;
  const std::string endpoint = lease.Endpoint().entry.id;
  ItemStep step =
      co_await TryItem(this->gateway, job->ledger, item, job->claim.host, lease, run->cancel);
  lease.Release();
  job->runs.remove(run);
  ItemProgress& progress = job->ledger.Progress(item);
  if (progress.phase == ItemPhase::kEnded || job->is_lost) {
    co_return;
  }
  progress.phase = ItemPhase::kWaiting;
  if (step == ItemStep::kWhole) {
    job->ledger.End(item, ItemEnd::kCompleted);
  } else if (step == ItemStep::kImpossible) {
    job->ledger.End(item, ItemEnd::kGivenUp);
  } else if (step == ItemStep::kFailedRun) {
    ++progress.failures;
    progress.output.clear();
    progress.last_event.reset();
    progress.not_before = net::Now() + kRetryPause;
    if (progress.failures >= job->claim.max_attempts) {
      job->ledger.End(item, ItemEnd::kGivenUp);
    } else {
      job->last_saved = {};  // a failure counts at the next owner, too
    }
  } else if (!run->cancel.IsCancelled()) {
    progress.not_before = net::Now() + kRetryPause;
  }
  net::LogLine("item_run", step == ItemStep::kWhole ? net::LogImportance::kRoutine
                                                    : net::LogImportance::kNotable)
      .With("job", job->claim.job)
      .With("item", job->ledger.Spec(item).id)
      .With("endpoint", endpoint)
      .With("step", NameOf(step))
      .With("cancelled", run->cancel.IsCancelled())
      .With("last_event", progress.last_event.value_or(-1))
      .With("failures", progress.failures)
      .With("ms", net::ToMilliseconds(net::Now() - run->started).count());
}

void JobService::YieldToOnline() {
  const net::SteadyTime now = net::Now();
  for (const auto& [id, endpoint] : this->gateway.registry.All()) {
    if (endpoint->own_batch == 0) {
      continue;
    }
    const int before = this->gateway.registry.BatchOfPeersAfter(this->peers.Name(), endpoint->key);
    int excess = gateway::EndpointRegistry::BatchToYield(*endpoint, before, now);
    while (excess-- > 0) {
      std::shared_ptr<internal::ItemRun> newest;
      for (const auto& [job_id, job] : this->owned) {
        for (const auto& run : job->runs) {
          const bool counts = run->endpoint_key == endpoint->key && !run->cancel.IsCancelled();
          if (counts && (!newest || run->started > newest->started)) {
            newest = run;
          }
        }
      }
      if (!newest) {
        break;
      }
      net::LogLine("item_yielded", net::LogImportance::kRoutine)
          .With("endpoint", endpoint->entry.id)
          .With("own", endpoint->OwnTotal())
          .With("peers", endpoint->peer_online + endpoint->peer_batch)
          .With("slots", endpoint->entry.slots)
          .With("ran_ms", net::ToMilliseconds(now - newest->started).count());
      newest->cancel.Cancel();
      this->gateway.metrics.GetCounter("job_items_yielded_total").Add();
    }
  }
}

}  // namespace lentilhead::jobs
