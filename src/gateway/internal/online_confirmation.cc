#include <algorithm>

#include "gateway/internal/answers.h"
#include "gateway/internal/online_run.h"
#include "gateway/types/body_relation.h"

namespace lentilhead::gateway::internal {

namespace {

using net::asio::awaitable;
using net::http::status;
using std::chrono::milliseconds;

/// Ids of all endpoints but one.
std::vector<std::string> AllBut(const EndpointRegistry& registry, const std::string& endpoint) {
  std::vector<std::string> others;
  for (const auto& [id, state] : registry.All()) {
    if (id != endpoint) {
      others.push_back(id);
    }
  }
  return others;
}

}  // namespace

void OnlineRun::NoteClaim() {
  const net::SteadyTime now = net::Now();
  this->claimer = this->last_endpoint;
  this->is_claimer_asked = false;
  this->confirm_until = now + kLongestConfirmation;
  if (!this->stream_begun) {
    // Another run may take as long, and wait for a slot; what is left of a stream does not.
    const milliseconds run_time = net::ToMilliseconds(now - this->attempt_start);
    this->confirm_until = std::max(this->confirm_until, now + 2 * run_time);
  }
}

bool OnlineRun::HasTimeToConfirm() const {
  const net::SteadyTime now = net::Now();
  return this->routed.deadline - now > now - this->attempt_start;
}

awaitable<OnlineRun::Step> OnlineRun::ConfirmBody(const EndpointLease& lease,
                                                  net::Response response) {
  if (!this->unconfirmed && !this->HasTimeToConfirm()) {
    co_return co_await this->DeliverWholeAnswer(std::move(response));
  }
  const BodyRelation relation = this->unconfirmed
                                    ? RelationOf(this->unconfirmed->body(), response.body())
                                    : BodyRelation::kFirstIsCut;
  switch (relation) {
    case BodyRelation::kSame:
      this->confirmation = kConfirmedEnd;
      co_return co_await this->DeliverWholeAnswer(std::move(response));
    case BodyRelation::kVaries:
      // The endpoint itself can tell whether its answer was cut.
      if (!std::exchange(this->has_varied, true)) {
        co_return Step::kUnconfirmed;
      }
      co_return co_await this->DeliverLonger(std::move(response));
    case BodyRelation::kFirstIsCut:
      this->unconfirmed = std::move(response);
      this->NoteClaim();
      break;
    case BodyRelation::kSecondIsCut:
      // Tells nothing of the end of the first one, which may be asked for once more.
      this->is_claimer_asked = std::exchange(this->was_confirmation_cut, true);
      break;
  }
  co_return co_await this->AfterFailure(lease, kEndUnconfirmedCause);
}

awaitable<OnlineRun::Step> OnlineRun::DeliverLonger(net::Response response) {
  this->confirmation = kVaryingEnd;
  const bool is_longer = response.body().size() > this->unconfirmed->body().size();
  net::Response longer = is_longer ? std::move(response) : std::move(*this->unconfirmed);
  co_return co_await this->DeliverWholeAnswer(std::move(longer));
}

awaitable<OnlineRun::Step> OnlineRun::AskAgain() {
  const bool may_ask = this->times_asked_again < kMaxTimesAskedAgain && this->may_send_again &&
                       !this->is_claimer_asked && net::Now() < this->AttemptLimit();
  if (!may_ask) {
    co_await this->EndUnconfirmed();
    co_return Step::kDone;
  }
  this->is_claimer_asked = true;
  ++this->times_asked_again;
  ChoiceRequest choice = this->MakeChoice();
  choice.excluded = AllBut(this->gateway.registry, this->claimer);
  choice.has_begun = true;
  AdmissionOutcome admitted =
      co_await this->gateway.admission.Acquire(std::move(choice), this->MakeTerms(), this->cancel);
  if (this->cancel.IsCancelled()) {
    co_return Step::kCancelled;
  }
  if (!admitted.lease) {
    co_await this->EndUnconfirmed();
    co_return Step::kDone;
  }
  co_return co_await this->TryEndpoint(std::move(admitted.lease));
}

awaitable<void> OnlineRun::EndUnconfirmed() {
  this->Count("failed", kEndUnconfirmedCause);
  if (this->stream_begun) {
    this->LogOutcome("cut", kEndUnconfirmedCause, 0);
    this->session.Abort();
    co_return;
  }
  this->LogOutcome("failed", kEndUnconfirmedCause, static_cast<int>(status::bad_gateway));
  net::Response response = MakeErrorResponse(status::bad_gateway, kEndUnconfirmedCause);
  co_await this->session.Send(std::move(response), this->WriteLimit());
}

}  // namespace lentilhead::gateway::internal
