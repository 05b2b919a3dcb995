#include "jobs/job_acceptance.h"

#include <utility>

#include "jobs/submission.h"

namespace lentilhead::jobs {

using net::asio::awaitable;

awaitable<JobAcceptance::Outcome> JobAcceptance::Accept(Claim claim, std::string submission,
                                                        std::int64_t limit,
                                                        net::SteadyTime deadline) {
  Submission steps(std::move(claim), limit, this->service.Directory());
  while (true) {
    const SubmissionStep step = steps.Next();
    if (const auto* accepted = std::get_if<JobAccepted>(&step)) {
      co_return *accepted;
    }
    if (const auto* over = std::get_if<OverTokenLimit>(&step)) {
      co_return *over;
    }
    if (const auto* error = std::get_if<rowstore::StoreError>(&step)) {
      co_return *error;
    }
    if (net::Now() >= deadline) {
      co_return rowstore::StoreError::kUnknown;
    }
    if (const auto* create = std::get_if<CreateClaim>(&step)) {
      const CreateOutcome created =
          co_await this->store.Create(create->claim, submission, deadline);
      steps.OnCreated(created.claim, created.is_new);
    } else if (const auto* refresh = std::get_if<RefreshClaims>(&step)) {
      const bool current = co_await this->service.RefreshClaims(refresh->at_least, deadline);
      steps.OnRefreshed(current);
    } else if (const auto* open = std::get_if<OpenClaim>(&step)) {
      const ClaimOutcome opened = co_await this->store.ReplaceClaim(open->claim, {}, deadline);
      steps.OnDecided(opened);
    } else if (const auto* withdraw = std::get_if<WithdrawClaim>(&step)) {
      const ClaimOutcome left = co_await this->store.Withdraw(withdraw->claim, deadline);
      steps.OnDecided(left);
    }
  }
}

}  // namespace lentilhead::jobs
