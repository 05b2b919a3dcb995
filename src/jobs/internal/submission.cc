#include "jobs/submission.h"

#include <utility>

#include "jobs/waiting_token_limit.h"

namespace lentilhead::jobs {

using rowstore::StoreError;

Submission::Submission(Claim claim, std::int64_t limit, const JobDirectory& directory)
    : claim(std::move(claim)), limit(limit), directory(directory) {
  if (this->MayBeAccepted()) {
    this->Create();
  } else {
    this->step = RefreshClaims{};
  }
}

bool Submission::MayBeAccepted() const {
  return this->directory.Find(this->claim.job) != nullptr ||
         this->ExcessOver(WaitingTokenLimit::Waiting(this->directory, this->claim.route,
                                                     this->claim.customer)) == 0;
}

std::int64_t Submission::ExcessOver(std::int64_t waiting) const {
  return WaitingTokenLimit::Excess(waiting, this->claim.waiting_tokens, this->limit);
}

void Submission::Create() {
  Claim created = this->claim;
  created.state = this->limit == 0 ? JobState::kOpen : JobState::kSubmitted;
  this->step = CreateClaim{std::move(created)};
}

void Submission::Refuse(std::int64_t waiting) {
  this->step = OverTokenLimit{waiting, this->ExcessOver(waiting)};
}

void Submission::OnStored(const Claim& stored, bool is_first) {
  if (stored.state != JobState::kSubmitted) {
    this->step = JobAccepted{stored, is_first};
    return;
  }
  this->submitted = stored;
  this->step = RefreshClaims{stored.version};
}

void Submission::OnCreated(const ClaimOutcome& outcome, bool is_new) {
  if (const auto* error = std::get_if<StoreError>(&outcome)) {
    this->step = this->is_written ? StoreError::kUnknown : *error;
    return;
  }
  const auto* stored = std::get_if<Claim>(&outcome);
  if (stored == nullptr) {
    this->Create();
    return;
  }
  this->is_written = true;
  this->OnStored(*stored, is_new);
}

void Submission::OnRefreshed(bool current) {
  if (!current) {
    this->step = this->is_written ? StoreError::kUnknown : StoreError::kNotApplied;
  } else if (this->submitted.version != 0) {
    this->DecideSubmitted();
  } else if (this->MayBeAccepted()) {
    this->Create();
  } else {
    this->Refuse(
        WaitingTokenLimit::Waiting(this->directory, this->claim.route, this->claim.customer));
  }
}

void Submission::DecideSubmitted() {
  const std::int64_t waiting = WaitingTokenLimit::WaitingBefore(this->directory, this->submitted);
  if (this->ExcessOver(waiting) > 0) {
    this->step = WithdrawClaim{this->submitted};
    return;
  }
  Claim opened = this->submitted;
  opened.state = JobState::kOpen;
  opened.owner = this->claim.owner;
  this->step = OpenClaim{std::move(opened)};
}

void Submission::OnDecided(const ClaimOutcome& outcome) {
  const bool is_withdrawal = std::holds_alternative<WithdrawClaim>(this->step);
  if (const auto* stored = std::get_if<Claim>(&outcome)) {
    const bool opened_here =
        !is_withdrawal && stored->state == JobState::kOpen && stored->owner == this->claim.owner;
    this->OnStored(*stored, opened_here);
  } else if (std::holds_alternative<StoreError>(outcome)) {
    this->step = StoreError::kUnknown;
  } else if (is_withdrawal) {
    this->Refuse(WaitingTokenLimit::WaitingBefore(this->directory, this->submitted));
  } else {
    this->submitted = {};
    this->Create();
  }
}

}  // namespace lentilhead::jobs
