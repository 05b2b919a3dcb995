#include "jobs/internal/item_run.h"

#include <utility>

#include "gateway/internal/endpoint_check.h"
#include "platform/job_codec.h"
#include "platform/request_codec.h"

namespace lentilhead::jobs::internal {

namespace {

using gateway::AttemptStage;
using gateway::EndpointFeedback;
using gateway::internal::AnswerHead;
using gateway::internal::AnswerStream;
using gateway::internal::AttemptLimits;
using gateway::internal::BodyPiece;
using gateway::internal::BodyState;
using gateway::internal::EndpointAttempt;
using gateway::internal::StreamEvent;
using gateway::internal::StreamPart;
using gateway::internal::StreamSequence;
using gateway::internal::StreamState;
using gateway::internal::WorkMeter;
using net::asio::awaitable;
using std::chrono::milliseconds;

// The attempt ends when the endpoint completes no further event for this long.
constexpr milliseconds kItemEventTimeout{4000};

/// Outcome of an attempt whose streamed answer ended before the output was complete.
ItemRunOutcome AfterIncomplete(StreamState state, const ItemProgress& progress) {
  switch (state) {
    case StreamState::kUnproven:
      return ItemRunOutcome::kEndUnproven;
    case StreamState::kUnframed:
      return ItemRunOutcome::kEndUnframed;
    case StreamState::kEmpty:
      return progress.last_event ? ItemRunOutcome::kEmptyUnframed : ItemRunOutcome::kResume;
    default:
      return ItemRunOutcome::kResume;
  }
}

/// Appends the data of events that continue the output.
void AppendEvents(ItemProgress& progress, const std::vector<StreamEvent>& events) {
  for (const StreamEvent& event : events) {
    if (!event.has_content) {
      continue;
    }
    const bool first = !progress.last_event && progress.output.empty();
    if (!first) {
      progress.output.push_back('\n');
    }
    progress.output += gateway::internal::DataOf(event.bytes);
    if (event.id) {
      progress.last_event = event.id;
    }
    progress.end_claims.Clear();
  }
}

}  // namespace

std::string_view NameOf(ItemRunOutcome outcome) {
  switch (outcome) {
    case ItemRunOutcome::kComplete:
      return "whole";
    case ItemRunOutcome::kResume:
      return "goes_on";
    case ItemRunOutcome::kEndUnproven:
      return "end_unconfirmed";
    case ItemRunOutcome::kEndUnframed:
      return "end_unframed";
    case ItemRunOutcome::kEmptyUnframed:
      return "empty_unframed";
    case ItemRunOutcome::kBeginAnew:
      return "begins_anew";
    case ItemRunOutcome::kRunFailed:
      return "failed_run";
    case ItemRunOutcome::kPermanentFailure:
      return "impossible";
    case ItemRunOutcome::kOverLimit:
      return "over_limit";
    case ItemRunOutcome::kOtherWeights:
      return "other_weights";
  }
  return "unknown";
}

void ItemRun::RecordFailure(bool unreachable) {
  EndpointFeedback::RecordFailure(this->lease.Endpoint(), net::Now(), unreachable);
}

bool ItemRun::NotePathLoss(const std::optional<net::asio::ip::address>& through) {
  if (through) {
    this->gateway.paths.RecordBroken(*through);
  }
  this->is_path_suspected =
      through.has_value() || this->gateway.paths.ExcusesFailure(this->lease.Endpoint().key);
  return this->is_path_suspected;
}

awaitable<ItemRunReport> ItemRun::Run(const Claim& claim) {
  ItemRunReport report;
  report.outcome = co_await this->Attempt(claim);
  report.stage = this->stage;
  report.answer_end = this->answer_end;
  report.end = this->cancel.IsCancelled() ? "cancelled" : this->end;
  const bool may_have_ended = this->is_connection_lost && !this->is_path_suspected &&
                              this->stage != AttemptStage::kAnswering;
  if (!may_have_ended || this->cancel.IsCancelled()) {
    co_return report;
  }
  const net::SteadyTime lost_at = net::Now();
  const gateway::EndpointFate fate =
      co_await gateway::internal::EndpointCheck::Observe(this->gateway, this->lease.Endpoint());
  report.endpoint_ended = fate == gateway::EndpointFate::kEnded;
  if (report.endpoint_ended) {
    const ItemSpec& spec = this->items.Spec(this->item);
    this->gateway.quarantine.RecordEnd(
        {spec.id, spec.keys, this->lease.Endpoint().incarnation, this->stage}, lost_at);
  }
  co_return report;
}

placement::CostQuery ItemRun::CostQueryOf(const Claim& claim, const ItemSpec& spec) {
  placement::CostQuery query;
  query.route = gateway::PartKeyOf(claim.route);
  query.customer = claim.customer.empty() ? 0 : gateway::PartKeyOf(claim.customer);
  query.stated = spec.cost;
  return query;
}

awaitable<ItemRunOutcome> ItemRun::ReadStream(EndpointAttempt& attempt,
                                              gateway::AnswerFraming framing, WorkMeter& work) {
  const ItemProgress& progress = this->items.Progress(this->item);
  StreamSequence sequence(progress.last_event, progress.last_event.has_value());
  const ItemRunOutcome ended =
      co_await this->ReadEvents(AnswerStream(attempt, framing, sequence), work);
  this->answer_end = attempt.End();
  if (sequence.MayResume()) {
    co_return ended;
  }
  if (ended == ItemRunOutcome::kEndUnframed) {
    co_return ItemRunOutcome::kComplete;  // no other endpoint could confirm events without ids
  }
  const bool is_resumed_next =
      ended == ItemRunOutcome::kResume || ended == ItemRunOutcome::kEndUnproven;
  co_return is_resumed_next ? ItemRunOutcome::kBeginAnew : ended;
}

awaitable<ItemRunOutcome> ItemRun::ReadEvents(AnswerStream stream, WorkMeter& work) {
  net::SteadyTime last_arrival;
  net::SteadyTime waiting_since = net::Now();
  while (true) {
    StreamPart part = co_await stream.Read(waiting_since + kItemEventTimeout);
    ItemProgress& progress = this->items.Progress(this->item);
    if (progress.phase == ItemPhase::kEnded) {
      co_return ItemRunOutcome::kResume;
    }
    const net::SteadyTime arrival = net::Now();
    if (!part.events.empty()) {
      if (std::exchange(this->stage, AttemptStage::kAnswering) != AttemptStage::kAnswering) {
        this->gateway.quarantine.RecordAnswer(this->items.Spec(this->item).keys, arrival);
      }
      if (last_arrival != net::SteadyTime{}) {
        EndpointFeedback::RecordUnitLatency(
            this->lease.Endpoint(),
            (arrival - last_arrival) / static_cast<int>(part.events.size()));
      }
      last_arrival = arrival;
      work.RecordEvents(this->lease, part.events.size(), arrival);
    }
    const std::size_t bytes_before = progress.output.size();
    const std::optional<std::int64_t> event_before = progress.last_event;
    AppendEvents(progress, part.events);
    if (stream.HasLaterEvent()) {
      progress.end_claims.Clear();
    }
    if (this->cancel.IsCancelled()) {
      co_return ItemRunOutcome::kResume;
    }
    const std::size_t output_bytes = progress.output.size();
    if (output_bytes != bytes_before || progress.last_event != event_before) {
      waiting_since = arrival;
    }
    if (output_bytes > gateway::AnswerLimits::kMaxItemOutputBytes) {
      this->end = NameOf(StreamState::kOverLimit);
      stream.AbortOverLimit(gateway::AnswerBound::kItemOutput, output_bytes);
      this->RecordFailure(false);
      co_return ItemRunOutcome::kOverLimit;
    }
    if (part.state != StreamState::kMore) {
      this->end = NameOf(part.state);
    }
    if (part.state == StreamState::kComplete) {
      co_return ItemRunOutcome::kComplete;
    }
    if (part.state != StreamState::kMore) {
      const bool is_loss =
          part.state == StreamState::kTimedOut || part.state == StreamState::kBroken;
      const bool tells_nothing =
          part.state == StreamState::kUnframed || progress.end_claims.IsClaimedWithoutFraming();
      const bool is_excused = is_loss && this->NotePathLoss(stream.Through());
      if (!tells_nothing && !is_excused) {
        this->RecordFailure(part.state == StreamState::kTimedOut);
      }
      this->is_connection_lost = part.state == StreamState::kBroken;
      co_return AfterIncomplete(part.state, progress);
    }
  }
}

awaitable<BodyState> ItemRun::SkipErrorBody(EndpointAttempt& attempt) {
  const net::SteadyTime until = net::Now() + kItemEventTimeout;
  BodyPiece piece;
  std::size_t bytes = 0;
  while (piece.state == BodyState::kMore) {
    piece = co_await attempt.ReadPiece(until);
    bytes += piece.received;
    if (piece.state == BodyState::kMore && bytes > gateway::AnswerLimits::kMaxErrorBodyBytes) {
      attempt.AbortOverLimit(gateway::AnswerBound::kErrorBody, bytes);
      piece.state = BodyState::kOverLimit;
    }
  }
  co_return piece.state;
}

awaitable<ItemRunOutcome> ItemRun::ReadFailure(EndpointAttempt& attempt, const AnswerHead& answer) {
  this->end = "status_" + std::to_string(answer.head.result_int());
  const BodyState body = co_await this->SkipErrorBody(attempt);
  if (body == BodyState::kOverLimit) {
    this->RecordFailure(false);
  }
  if (answer.decoded.other_instance) {
    EndpointFeedback::RecordReplacement(this->lease.Endpoint(), net::Now());
  }
  if (answer.decoded.other_weights) {
    co_return ItemRunOutcome::kOtherWeights;
  }
  const unsigned code = answer.head.result_int();
  const bool has_run = !answer.decoded.not_executed && !answer.decoded.other_instance;
  if (!has_run || (code != 422 && code != 500)) {
    co_return ItemRunOutcome::kResume;
  }
  // Without its whole body, an answer may be one of an endpoint in trouble; it counts as one of
  // several failed runs that it takes to give the item up.
  const bool is_whole = body == BodyState::kEnd;
  co_return code == 422 && is_whole ? ItemRunOutcome::kPermanentFailure
                                    : ItemRunOutcome::kRunFailed;
}

awaitable<ItemRunOutcome> ItemRun::Attempt(const Claim& claim) {
  gateway::EndpointState& endpoint = this->lease.Endpoint();
  const gateway::InferenceRequest request =
      platform::EncodeItemRequest(this->items.Spec(this->item), claim.host);
  gateway::AttemptOptions options;
  options.endpoint_id = endpoint.entry.id;
  options.has_customers = !claim.customer.empty();
  options.customer = claim.customer;
  ItemProgress& progress = this->items.Progress(this->item);
  if (!progress.last_event) {
    progress.output.clear();  // without an id, the next answer repeats it
  }
  options.last_event_id = progress.last_event;
  net::Request message = platform::EncodeAttempt(request, options);
  EndpointFeedback::RecordAttempt(endpoint, net::Now());
  const ItemSpec& spec = this->items.Spec(this->item);
  WorkMeter work(this->gateway, endpoint.entry.service, CostQueryOf(claim, spec),
                 static_cast<double>(options.last_event_id.value_or(0)));
  gateway::ChoiceRequest choice{endpoint.entry.service, {}, gateway::WorkClass::kBatch};
  work.AddTo(choice, 0, net::Now());
  work.RecordSent(this->lease, spec.id, net::Now());
  EndpointAttempt attempt(this->gateway, this->lease.Shared(), this->cancel);
  AttemptLimits limits{net::Now() + kItemEventTimeout, true};
  EndpointAttempt::StartOutcome outcome =
      co_await attempt.Start(std::move(message), request.id, limits);
  if (this->cancel.IsCancelled()) {
    co_return ItemRunOutcome::kResume;
  }
  if (const auto* failure = std::get_if<gateway::AttemptFailure>(&outcome)) {
    this->end = NameOf(*failure);
    const bool is_loss = *failure == gateway::AttemptFailure::kUnknown ||
                         *failure == gateway::AttemptFailure::kTimedOut;
    const bool is_excused = *failure == gateway::AttemptFailure::kNoPath ||
                            (is_loss && this->NotePathLoss(attempt.Through()));
    if (!is_excused) {
      this->RecordFailure(*failure != gateway::AttemptFailure::kUnknown);
    }
    this->is_connection_lost = *failure == gateway::AttemptFailure::kUnknown;
    co_return ItemRunOutcome::kResume;
  }
  const AnswerHead answer = std::move(std::get<AnswerHead>(outcome));
  this->stage = AttemptStage::kBegun;
  if (answer.decoded.load) {
    this->gateway.registry.RecordLoad(endpoint, *answer.decoded.load, net::Now());
  }
  const bool is_success = answer.head.result_int() / 100 == 2;
  if (is_success && !answer.decoded.HasEvents()) {
    this->end = "no_events";
    attempt.Abort();
    this->RecordFailure(false);
    co_return ItemRunOutcome::kResume;
  }
  if (is_success) {
    EndpointFeedback::RecordAnswer(endpoint, net::Now());
    const ItemRunOutcome ended = co_await this->ReadStream(attempt, answer.framing, work);
    work.RecordEnd(request.id, ended == ItemRunOutcome::kComplete, net::Now());
    co_return ended;
  }
  co_return co_await this->ReadFailure(attempt, answer);
}

}  // namespace lentilhead::jobs::internal
