#pragma once

#include "gateway/types/routed_request.h"
#include "jobs/job_acceptance.h"
#include "jobs/job_service.h"
#include "jobs/job_store.h"
#include "jobs/types/job_call.h"

namespace lentilhead::jobs {

/// Serves the calls on batch jobs: submit, read results, read an item's body, end.
class JobApi {
 public:
  /// Every call has been answered after this time.
  static constexpr std::chrono::milliseconds kLongestCall{2500};

  JobApi(gateway::Gateway& gateway, JobStore& store, JobService& service, std::string owner);

  /// Handles a call and returns its answer.
  /// @param routed configuration and route of the request; the route is null for an existing job.
  net::asio::awaitable<net::Response> Handle(gateway::InferenceRequest request,
                                             gateway::RoutedRequest routed);

 private:
  net::asio::awaitable<net::Response> Submit(gateway::InferenceRequest request,
                                             gateway::RoutedRequest routed);
  net::Response AnswerOverLimit(const Claim& claim, const gateway::Route& route,
                                const OverTokenLimit& over);
  net::Response AnswerStoreError(const Claim& claim, rowstore::StoreError error,
                                 net::SteadyTime arrival);
  net::asio::awaitable<net::Response> Read(ReadResultsCall call);
  net::asio::awaitable<net::Response> ReadItem(ReadItemCall call);
  net::asio::awaitable<net::Response> End(EndJobCall call);
  net::asio::awaitable<ClaimOutcome> FindClaim(std::string job, net::SteadyTime deadline);

  gateway::Gateway& gateway;
  JobStore& store;
  JobService& service;
  JobAcceptance acceptance;
  std::string owner;
};

}  // namespace lentilhead::jobs
