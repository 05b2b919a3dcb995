#pragma once

#include <string>
#include <variant>

#include "jobs/job_service.h"
#include "jobs/job_store.h"
#include "jobs/types/submission_step.h"

namespace lentilhead::jobs {

/// Carries out the steps of submissions against the store.
class JobAcceptance {
 public:
  /// How a submission ended. An unknown error means that the job may be accepted yet.
  using Outcome = std::variant<JobAccepted, OverTokenLimit, rowstore::StoreError>;

  JobAcceptance(JobStore& store, JobService& service) : store(store), service(service) {}

  /// Stores a job and accepts it if it fits.
  /// @param limit limit on the waiting tokens of the job's route; 0 for none.
  /// @param deadline time after which no further call is sent to the store.
  net::asio::awaitable<Outcome> Accept(Claim claim, std::string submission, std::int64_t limit,
                                       net::SteadyTime deadline);

 private:
  JobStore& store;
  JobService& service;
};

}  // namespace lentilhead::jobs
