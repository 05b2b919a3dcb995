#pragma once

#include <functional>
#include <memory>
#include <set>

#include "gateway/caller_session.h"
#include "gateway/gateway.h"
#include "gateway/internal/open_requests.h"
#include "gateway/types/routed_request.h"

namespace lentilhead::gateway {

/// Answers a caller's request that submits, reads or ends a batch job.
using JobHandler = std::function<net::asio::awaitable<net::Response>(
    InferenceRequest request, RoutedRequest routed, CancelScope& cancel)>;

/// Accepts callers' connections, reads requests and dispatches them to their handlers.
class CallerServer {
 public:
  /// @param jobs answers calls on batch jobs.
  /// @param longest_job_call time after which every call on batch jobs has been answered.
  /// @param is_job_call tells whether a request has the form of a call on an existing job.
  /// @param is_on_known_job tells whether a request of that form names a job of its host that this
  ///   node knows.
  CallerServer(Gateway& gateway, JobHandler jobs, std::chrono::milliseconds longest_job_call,
               std::function<bool(const InferenceRequest&)> is_job_call,
               std::function<bool(const InferenceRequest&)> is_on_known_job);

  /// Accepts connections until the acceptor is closed.
  net::asio::awaitable<void> Accept(net::tcp::acceptor& acceptor);

  /// Closes the connections without a request in flight.
  void CloseIdle();

  /// Closes the connections of callers that read too slowly, as the memory budget decides; counts
  /// and logs them. To be called a few times a second.
  void EndSlowReaders();

  /// Number of open connections.
  [[nodiscard]] std::size_t OpenConnections() const { return this->sessions.size(); }

  /// Number of requests in flight.
  [[nodiscard]] std::size_t RequestsInFlight() const { return this->requests.All().size(); }

  /// Ends the online requests in flight, each in the way that its caller can use best.
  void EndRequests();

  /// Logs the requests in flight, which the exit of the process cuts.
  void LogCutRequests() const;

 private:
  net::asio::awaitable<void> Serve(std::shared_ptr<CallerSession> session);
  [[nodiscard]] CallerLimits LimitsInForce() const;
  net::asio::awaitable<void> ServeRequests(std::shared_ptr<CallerSession> session);
  net::asio::awaitable<void> Answer(CallerSession& session, net::Request message);
  net::asio::awaitable<void> AnswerProblem(CallerSession& session, ReadProblem problem);
  /// Refuses a request whose body the memory budget has no room for.
  net::asio::awaitable<void> RefuseForMemory(CallerSession& session);
  /// Refuses a request before its route is known.
  /// @param retry_after delay after which the caller may retry.
  net::asio::awaitable<void> RefuseUnrouted(CallerSession& session, const InferenceRequest& request,
                                            const char* reason,
                                            std::chrono::milliseconds retry_after);
  /// Refuses a request while the configuration or the endpoints are not known.
  net::asio::awaitable<void> RefuseNotReady(CallerSession& session,
                                            const InferenceRequest& request);
  /// Whether a request needs the API key of a customer. The configuration must not be null.
  [[nodiscard]] bool MustAuthenticate(const InferenceRequest& request, const RoutedRequest& routed);
  /// Asks whether the quota of the customer allows a request, and refuses it if not.
  /// @return whether the request may go.
  net::asio::awaitable<bool> AdmitByQuota(CallerSession& session, const InferenceRequest& request,
                                          const RoutedRequest& routed);
  net::asio::awaitable<void> RejectUnknownKey(CallerSession& session,
                                              const InferenceRequest& request,
                                              const ServingConfig& config);
  /// Decides whether a node that shuts down accepts a request, and logs the decision.
  [[nodiscard]] bool AcceptsWhileLeaving(const InferenceRequest& request,
                                         const RoutedRequest& routed);
  net::asio::awaitable<void> Dispatch(CallerSession& session, CancelScope& cancel,
                                      InferenceRequest request);

  /// Whether a request is a call on an existing job. Its path may match a route, too, such as one
  /// for all paths of the host.
  [[nodiscard]] bool IsOnJob(const InferenceRequest& request, const Route* route) const;

  Gateway& gateway;
  JobHandler jobs;
  std::chrono::milliseconds longest_job_call;
  std::function<bool(const InferenceRequest&)> is_job_call;
  std::function<bool(const InferenceRequest&)> is_on_known_job;
  std::set<std::shared_ptr<CallerSession>> sessions;
  internal::OpenRequests requests;
};

}  // namespace lentilhead::gateway
