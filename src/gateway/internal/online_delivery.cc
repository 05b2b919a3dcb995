#include <algorithm>

#include "gateway/internal/answers.h"
#include "gateway/internal/online_run.h"
#include "gateway/types/body_relation.h"
#include "platform/request_codec.h"

namespace lentilhead::gateway::internal {

namespace {

using net::asio::awaitable;
using net::http::status;
using std::chrono::milliseconds;

constexpr milliseconds kWriteGrace{1000};  // a finished answer may be written after the deadline

/// Cause of a failed attempt whose body ended in `state`. @param broken cause of a lost connection.
std::string_view CauseOf(BodyState state, std::string_view broken) {
  switch (state) {
    case BodyState::kOverLimit:
      return NameOf(AttemptFailure::kOverLimit);
    case BodyState::kTimedOut:
      return "deadline";
    default:
      return broken;
  }
}

}  // namespace

net::SteadyTime OnlineRun::WriteLimit() const {
  return std::max(this->routed.deadline, net::Now()) + kWriteGrace;
}

awaitable<OnlineRun::Step> OnlineRun::ForwardWholeAnswer(EndpointAttempt& attempt,
                                                         const EndpointLease& lease,
                                                         AnswerHead answer) {
  const net::SteadyTime start = net::Now();
  this->framing = answer.framing;
  const bool may_retry = this->routed.IsRepeatable() && this->MayRetry();
  if (may_retry) {
    this->silence.Start(AttemptPolicy::SilentWithoutAnswerAt(*this->routed.route, start,
                                                             this->routed.deadline, true));
  }
  BodyPiece body = co_await attempt.ReadRest(kMaxBufferedAnswerBytes, this->AttemptLimit());
  this->silence.Stop();
  this->end = attempt.End();
  if (this->cancel.IsCancelled()) {
    co_return Step::kCancelled;
  }
  // Without framing, a connection that was lost before the body ends like a whole answer.
  const bool may_lack_body = body.state == BodyState::kEnd && body.bytes.empty() &&
                             answer.framing == AnswerFraming::kConnection;
  const bool is_broken = body.state != BodyState::kEnd && body.state != BodyState::kMore;
  if (is_broken || may_lack_body) {
    co_return co_await this->AfterFailure(lease, CauseOf(body.state, kBodyCutCause));
  }
  const int code = static_cast<int>(answer.head.result_int());
  // These statuses say that the request has not run.
  const bool is_false_refusal =
      (code == 503 || code == 429 || code == 408) && this->record.maybe_run;
  const bool has_failed = code / 100 == 5 || is_false_refusal;
  if (has_failed && this->routed.IsRepeatable() && this->MayRetry()) {
    co_return co_await this->AfterFailure(lease, "endpoint_error");
  }
  if (answer.head.result() == status::internal_server_error) {
    EndpointFeedback::RecordErrorAnswer(lease.Endpoint(), net::Now());
  }
  if (this->unconfirmed && code / 100 != 2) {
    co_return co_await this->AfterFailure(lease, "endpoint_error");
  }
  if (is_false_refusal) {
    co_await this->Fail(status::bad_gateway, "endpoint_error");
    co_return Step::kDone;
  }
  if (answer.decoded.is_signed && !answer.decoded.not_executed) {
    this->RecordAnswer(code / 100 == 2);
  }
  if (body.state == BodyState::kMore) {
    co_return co_await this->ForwardLargeAnswer(attempt, lease, std::move(answer),
                                                std::move(body.bytes));
  }
  EndpointFeedback::RecordUnitLatency(lease.Endpoint(), net::Now() - this->routed.arrival);
  this->gateway.admission.RecordFirstEvent(this->routed.service, net::Now() - this->attempt_start);
  this->work.RecordAnswer(lease, net::Now());
  const bool must_be_confirmed = this->NeedsConfirmation(answer, body);
  net::Response response(platform::EncodeAnswerHead(answer.head), std::move(body.bytes));
  const bool is_contradicted =
      this->unconfirmed &&
      RelationOf(this->unconfirmed->body(), response.body()) == BodyRelation::kSecondIsCut;
  if (!must_be_confirmed && !is_contradicted) {
    co_return co_await this->DeliverWholeAnswer(std::move(response));
  }
  co_return co_await this->ConfirmBody(lease, std::move(response));
}

bool OnlineRun::NeedsConfirmation(const AnswerHead& answer, const BodyPiece& body) const {
  const bool is_success = answer.head.result_int() / 100 == 2;
  // A second answer may have supplied the bytes that the first one lacks up to its stated length.
  const bool may_be_filled = answer.framing == AnswerFraming::kLength && body.is_followed;
  return is_success && body.state == BodyState::kEnd && this->routed.IsRepeatable() &&
         (answer.framing == AnswerFraming::kConnection || may_be_filled);
}

awaitable<OnlineRun::Step> OnlineRun::DeliverWholeAnswer(net::Response response) {
  const int code = static_cast<int>(response.result_int());
  const bool sent = co_await this->session.Send(std::move(response), this->WriteLimit());
  const char* outcome = sent ? "served" : "gone";
  this->Count(outcome, "answer");
  this->LogOutcome(outcome, "answer", code);
  co_return Step::kDone;
}

awaitable<OnlineRun::Step> OnlineRun::ForwardLargeAnswer(EndpointAttempt& attempt,
                                                         const EndpointLease& lease,
                                                         AnswerHead answer,
                                                         std::string first_bytes) {
  this->stream_begun = true;
  const net::SteadyTime start = net::Now();
  std::chrono::nanoseconds caller_time{0};
  bool sent = co_await this->session.BeginChunks(platform::EncodeAnswerHead(answer.head),
                                                 this->WriteLimit());
  BodyPiece piece;
  piece.bytes = std::move(first_bytes);
  while (sent) {
    if (!piece.bytes.empty()) {
      const net::SteadyTime write_start = net::Now();
      sent = co_await this->session.SendChunk(std::move(piece.bytes), this->WriteLimit());
      caller_time += net::Now() - write_start;
    }
    if (!sent || piece.state != BodyState::kMore) {
      break;
    }
    piece = co_await attempt.ReadPiece(this->routed.deadline);
    this->end = attempt.End();
    if (this->cancel.IsCancelled()) {
      co_return Step::kCancelled;
    }
  }
  if (!sent) {
    co_await this->Fail(status::bad_gateway, "caller_closed");
    co_return Step::kDone;
  }
  if (piece.state != BodyState::kEnd) {
    const bool caller_was_slow = 2 * caller_time > net::Now() - start;
    if (piece.state != BodyState::kTimedOut || !caller_was_slow) {
      EndpointFeedback::RecordFailure(lease.Endpoint(), net::Now(), false);
    }
    co_await this->Fail(status::bad_gateway, CauseOf(piece.state, kBodyCutCause));
    co_return Step::kDone;
  }
  co_await this->session.EndChunks(this->WriteLimit());
  this->Count("served", "answer");
  this->LogOutcome("served", "answer", static_cast<int>(answer.head.result_int()));
  co_return Step::kDone;
}

awaitable<bool> OnlineRun::BeginStream(const AnswerHead& answer) {
  if (this->stream_begun) {
    co_return true;
  }
  this->stream_begun = true;
  this->first_event = net::Now();
  this->gateway.metrics.GetLatency("gateway_first_event_seconds")
      .Record(this->first_event - this->routed.arrival);
  this->gateway.admission.RecordFirstEvent(this->routed.service,
                                           this->first_event - this->attempt_start);
  co_return co_await this->session.BeginChunks(platform::EncodeAnswerHead(answer.head),
                                               this->WriteLimit());
}

awaitable<bool> OnlineRun::ForwardEvents(std::vector<StreamEvent> events,
                                         const AnswerHead& answer) {
  std::string bytes;
  for (const StreamEvent& event : events) {
    bytes += event.bytes;
  }
  if (bytes.empty()) {
    co_return true;
  }
  const bool begun = co_await this->BeginStream(answer);
  if (!begun) {
    co_return false;
  }
  co_return co_await this->session.SendChunk(std::move(bytes), this->WriteLimit());
}

awaitable<OnlineRun::Step> OnlineRun::EndStream(const AnswerHead& answer) {
  const bool begun = co_await this->BeginStream(answer);
  co_return co_await this->EndBegunStream(begun, static_cast<int>(answer.head.result_int()));
}

awaitable<OnlineRun::Step> OnlineRun::EndBegunStream(bool is_open, int status_code) {
  const bool sent = is_open && co_await this->session.EndChunks(this->WriteLimit());
  const char* outcome = sent ? "served" : "gone";
  this->Count(outcome, "stream");
  this->LogOutcome(outcome, "stream", status_code);
  co_return Step::kDone;
}

std::string_view OnlineRun::StreamCauseOf(StreamState state, bool was_silent) {
  switch (state) {
    case StreamState::kOverLimit:
      return NameOf(AttemptFailure::kOverLimit);
    case StreamState::kForeign:
      return kForeignBytesCause;
    case StreamState::kMisplaced:
      return kMisplacedEventCause;
    case StreamState::kTimedOut:
      return kSilentStreamCause;
    default:
      return was_silent ? kSilentStreamCause : kStreamCutCause;
  }
}

bool OnlineRun::IsEndClaim(StreamState state) const {
  const bool is_empty_claim =
      state == StreamState::kEmpty && this->end_claims.IsClaimedWithoutFraming();
  return state == StreamState::kUnproven || state == StreamState::kUnframed || is_empty_claim;
}

awaitable<OnlineRun::Step> OnlineRun::AfterEndClaim(const EndpointLease& lease,
                                                    const AnswerHead& answer, StreamState state) {
  const EndClaims::Result claim = state == StreamState::kUnframed
                                      ? this->end_claims.AddWithoutFraming(this->last_endpoint)
                                      : this->end_claims.Add(this->last_endpoint);
  if (claim == EndClaims::Result::kFirst) {
    this->NoteClaim();
  }
  const bool is_said_again = claim == EndClaims::Result::kSame && this->is_claimer_asked;
  // The endpoint that sent the last event was alive after it.
  const bool can_not_be_asked = this->end_claims.IsClaimedWithoutFraming() &&
                                !(this->routed.IsRepeatable() && this->sequence.MayResume());
  if (claim == EndClaims::Result::kConfirmed || is_said_again) {
    this->confirmation = kConfirmedEnd;
  }
  if (claim == EndClaims::Result::kConfirmed || is_said_again || can_not_be_asked) {
    co_return co_await this->EndStream(answer);
  }
  co_return co_await this->AfterFailure(lease, kEndUnconfirmedCause);
}

awaitable<OnlineRun::Step> OnlineRun::ForwardStream(EndpointAttempt& attempt,
                                                    const EndpointLease& lease, AnswerHead answer) {
  AnswerStream stream(attempt, answer.framing, this->sequence);
  net::SteadyTime last_arrival;
  this->framing = answer.framing;
  bool has_advanced = true;
  while (true) {
    const net::SteadyTime now = net::Now();
    const bool may_retry = this->routed.IsRepeatable() && this->MayRetry();
    if (may_retry && has_advanced) {
      this->silence.Start(this->stream_begun
                              ? AttemptPolicy::SilentWithoutEventAt(*this->routed.route, now,
                                                                    this->routed.deadline, true)
                              : AttemptPolicy::SilentWithoutAnswerAt(*this->routed.route, now,
                                                                     this->routed.deadline, true));
    }
    StreamPart part = co_await stream.Read(this->AttemptLimit());
    this->end = attempt.End();
    has_advanced = part.has_advanced;
    // Bytes that complete no event are silence, too.
    const bool is_wait_over =
        has_advanced || part.state != StreamState::kMore || this->cancel.IsCancelled();
    const bool was_silent = is_wait_over && this->silence.Stop();
    this->unfinished_bytes = stream.UnfinishedBytes();
    const bool has_content = std::ranges::any_of(part.events, &StreamEvent::has_content);
    if (has_content || stream.HasLaterEvent()) {
      this->end_claims.Clear();  // a comment does not contradict them
    }
    if (this->cancel.IsCancelled() && part.state != StreamState::kComplete) {
      co_return Step::kCancelled;
    }
    if (!part.events.empty()) {
      this->silence_recorded = false;
      if (std::exchange(this->stage, AttemptStage::kAnswering) != AttemptStage::kAnswering) {
        this->RecordAnswer(true);
      }
      const net::SteadyTime arrival = net::Now();
      if (last_arrival != net::SteadyTime{}) {
        EndpointFeedback::RecordUnitLatency(
            lease.Endpoint(), (arrival - last_arrival) / static_cast<int>(part.events.size()));
      }
      last_arrival = arrival;
      this->work.RecordEvents(lease, part.events.size(), arrival);
      const bool sent = co_await this->ForwardEvents(std::move(part.events), answer);
      if (!sent) {
        this->silence.Stop();
        this->Count("gone", "caller_closed");
        this->LogOutcome("gone", "caller_closed", 0);
        this->session.Abort();
        co_return Step::kDone;
      }
    }
    if (part.state == StreamState::kComplete) {
      co_return co_await this->EndStream(answer);
    }
    if (this->IsEndClaim(part.state) && !was_silent) {
      co_return co_await this->AfterEndClaim(lease, answer, part.state);
    }
    if (was_silent || part.state != StreamState::kMore) {
      co_return co_await this->AfterFailure(lease, StreamCauseOf(part.state, was_silent));
    }
  }
}

}  // namespace lentilhead::gateway::internal
