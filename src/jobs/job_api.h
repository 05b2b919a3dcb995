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

  /// Tells whether a call on an existing job names one of the call's host that this node knows.
  [[nodiscard]] bool IsOnKnownJob(const gateway::InferenceRequest& request) const;

 private:
  /// Name of the customer that a call comes from: empty on an anonymous route; no value if the
  /// configuration knows no customers, so that every job may be read.
  using Requester = std::optional<std::string>;

  net::asio::awaitable<net::Response> Submit(gateway::InferenceRequest request,
                                             gateway::RoutedRequest routed);
  net::Response AnswerOverLimit(const Claim& claim, const gateway::Route& route,
                                const OverTokenLimit& over);
  net::Response AnswerStoreError(const Claim& claim, rowstore::StoreError error,
                                 net::SteadyTime arrival);
  net::asio::awaitable<net::Response> Read(ReadResultsCall call, Requester requester);
  net::asio::awaitable<net::Response> ReadItem(ReadItemCall call, Requester requester);
  net::asio::awaitable<net::Response> End(EndJobCall call, Requester requester);
  /// Finds a job of the requester. The job of another customer is answered as one that does not
  /// exist, after the same read of the store.
  net::asio::awaitable<ClaimOutcome> FindClaim(std::string job, Requester requester,
                                               net::SteadyTime deadline);

  gateway::Gateway& gateway;
  JobStore& store;
  JobService& service;
  JobAcceptance acceptance;
  std::string owner;
};

}  // namespace lentilhead::jobs
