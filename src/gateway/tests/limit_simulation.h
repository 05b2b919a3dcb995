#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gateway/endpoint_limits.h"
#include "gateway/outside_limits.h"

namespace lentilhead::gateway::tests {

/// What a simulated fleet is, and what it is sent.
struct LimitSimulationSetup {
  int nodes = 3;
  int endpoints = 9;
  int limited = 6;  ///< endpoints that name a limit
  double limit = 4;
  int named_every = 1;  ///< the limit is named in each n-th answer of an endpoint
  double requests_per_second = 100;
  bool is_skewed = false;  ///< all requests reach one node, from the middle on another one
  double message_loss = 0.02;
  std::chrono::milliseconds duration{20000};
  std::chrono::milliseconds limit_end{1000000};  ///< time from which no limit is named
  /// Random times at which nodes start again, are frozen or cut off from the others.
  bool has_trouble = false;
};

/// What the endpoints of a simulated fleet saw.
struct LimitSimulationResult {
  double worst = 0;  ///< requests at an endpoint in 4 s, as a share of the bound on them
  double used = 0;   ///< share of the limits that was used, from 3 s on
  double freed = 0;  ///< share of the requests at the limited endpoints, from 1 s after their end
  int refused = 0;   ///< requests that no endpoint could take
  int requests = 0;
  double entries_per_message = 0;  ///< endpoints in a report, on average
};

/// Plays a fleet of nodes, each with its copy of the limits, in virtual time.
class LimitSimulation {
 public:
  LimitSimulation(LimitSimulationSetup setup, std::uint32_t seed);

  /// Plays to the end.
  LimitSimulationResult Run();

 private:
  using Task = std::function<void()>;

  struct Endpoint {
    std::uint32_t incarnation = 0;
    bool names_limit = false;
    int answers = 0;
    std::optional<net::SteadyTime> first_named;
    std::vector<net::SteadyTime> arrivals;
  };
  struct Node {
    std::string name;
    std::string start;
    EndpointLimits limits;
    OutsideLimits outside;
    net::SteadyTime frozen_until;
    net::SteadyTime cut_until;
    net::SteadyTime recent_sent;
    bool is_new = true;
  };

  void At(std::chrono::milliseconds delay, Task task);
  void Arrive();
  /// Sends a request, or tries again until its wait ends.
  void Send(std::size_t node, net::SteadyTime until);
  void Answer(std::size_t node, std::size_t endpoint, const std::string& start,
              net::SteadyTime sent_at);
  void SendMessages(std::size_t node);
  void SendToOtherGroups(std::size_t node);
  /// Returns an endpoint of another group that the node may use, if it finds one.
  [[nodiscard]] std::optional<std::size_t> OutsideEndpoint(std::size_t node);
  [[nodiscard]] bool IsShared() const { return this->endpoints.size() < 2 * this->groups; }
  void StartTrouble();
  [[nodiscard]] std::size_t GroupOf(std::size_t node) const;
  [[nodiscard]] std::vector<std::size_t> EndpointsOf(std::size_t group) const;
  [[nodiscard]] std::chrono::milliseconds MessagePeriod() const;
  [[nodiscard]] Node MakeNode(std::size_t index);
  [[nodiscard]] bool IsCut(const Node& node) const { return this->now < node.cut_until; }
  [[nodiscard]] LimitSimulationResult Evaluate() const;
  int Draw(int below);
  double DrawFraction();

  LimitSimulationSetup setup;
  std::mt19937 random;
  net::SteadyTime now;
  std::multimap<net::SteadyTime, Task> tasks;
  std::vector<Node> nodes;
  std::vector<Endpoint> endpoints;
  std::size_t groups = 1;
  int starts = 0;
  std::uint64_t messages = 0;
  std::uint64_t entries = 0;
  LimitSimulationResult result;
};

}  // namespace lentilhead::gateway::tests
