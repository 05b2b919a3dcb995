#pragma once

#include <string>

#include "jobs/job_directory.h"
#include "jobs/types/claim_outcome.h"
#include "jobs/types/submission_step.h"

namespace lentilhead::jobs {

/// Decides step by step whether a submitted job is accepted. Answers floods of batch jobs on a
/// route whose waiting tokens are limited.
///
/// On such a route the claim is written as submitted first; its version is its place in the order
/// of all submissions. The job is accepted if it fits after all that come before it, else
/// withdrawn. Any node may decide on a submitted claim, because each decision is a conditional
/// write of it: a caller that returns to another node needs no answer from the first one. A job
/// that does not fit by the node's view is refused without a write, once the view is known to be
/// current.
///
/// Uses neither the clock nor the store.
class Submission {
 public:
  /// @param claim claim of the job, with the node that is to own it.
  /// @param limit limit on the waiting tokens of the job's route; 0 for none.
  /// @param directory claims that this node knows; the caller updates it in RefreshClaims steps.
  Submission(Claim claim, std::int64_t limit, const JobDirectory& directory);

  /// Returns the step to carry out next, or how the submission ended.
  [[nodiscard]] const SubmissionStep& Next() const { return this->step; }

  /// Continues after CreateClaim. @param outcome the claim that is stored now.
  /// @param is_new whether the call is known to have written that claim.
  void OnCreated(const ClaimOutcome& outcome, bool is_new);

  /// Continues after RefreshClaims. @param current whether the claims are as new as required.
  void OnRefreshed(bool current);

  /// Continues after OpenClaim or WithdrawClaim. @param outcome the claim that is stored now.
  void OnDecided(const ClaimOutcome& outcome);

 private:
  void OnStored(const Claim& stored, bool is_first);
  void Create();
  /// Tells whether the job is known, or fits by the claims that this node knows.
  [[nodiscard]] bool MayBeAccepted() const;
  void DecideSubmitted();
  void Refuse(std::int64_t waiting);
  [[nodiscard]] std::int64_t ExcessOver(std::int64_t waiting) const;

  Claim claim;
  Claim submitted;          ///< the claim in the store, while it is submitted
  bool is_written = false;  ///< this submission may have left a claim in the store
  std::int64_t limit;
  const JobDirectory& directory;
  SubmissionStep step;
};

}  // namespace lentilhead::jobs
