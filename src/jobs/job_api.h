#pragma once

#include "gateway/types/routed_request.h"
#include "jobs/job_service.h"
#include "jobs/job_store.h"
#include "jobs/types/job_call.h"

namespace lentilhead::jobs {

/// Serves the calls of batch jobs: submission, results, bodies and ends.
class JobApi {
 public:
  JobApi(gateway::Gateway& gateway, JobStore& store, JobService& service, std::string owner);

  /// Answers a call.
  /// @param facts its route, for a submission; no route for a call on an existing job.
  net::asio::awaitable<net::Response> Handle(gateway::InferenceRequest request,
                                             gateway::RoutedRequest facts);

 private:
  net::asio::awaitable<net::Response> Submit(gateway::InferenceRequest request,
                                             gateway::RoutedRequest facts);
  net::asio::awaitable<net::Response> Read(ReadResultsCall call);
  net::asio::awaitable<net::Response> ReadItem(ReadItemCall call);
  net::asio::awaitable<net::Response> End(EndJobCall call);
  net::asio::awaitable<ClaimOutcome> FindClaim(std::string job, net::SteadyTime deadline);

  gateway::Gateway& gateway;
  JobStore& store;
  JobService& service;
  std::string owner;
};

}  // namespace lentilhead::jobs
