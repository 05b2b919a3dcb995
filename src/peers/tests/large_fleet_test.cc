#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <vector>

#include "gateway/placement.h"
#include "peers/peer_groups.h"

namespace lentilhead::peers {
namespace {

using std::chrono::milliseconds;

constexpr int kNodes = 300;
constexpr int kEndpoints = 150;
constexpr int kZones = 6;
constexpr int kSlots = 7;
// Requests that an endpoint queues beyond its slots before it turns others away.
constexpr int kEndpointQueue = 2;
constexpr milliseconds kRun{240};
constexpr milliseconds kPlay{12000};
constexpr milliseconds kStep{5};
constexpr milliseconds kBurstStart{4000};
constexpr milliseconds kBurstEnd{6000};
constexpr double kRequestsPerSecond = 900;
constexpr double kBurstFactor = 3;

/// What a play of a fleet showed.
struct FleetFigures {
  int arrivals = 0;
  int turned_away = 0;
  double busiest_over_mean = 0;    ///< arrivals at the busiest endpoint
  double messages_per_second = 0;  ///< sent by a node
};

/// Plays online requests at 300 nodes and 150 endpoints, with a burst of three times from second 4
/// to 6, without a network. Each node knows its own requests, and those of the other nodes of its
/// group as of their last message.
class FleetPlay {
 public:
  /// @param divided whether the fleet is divided into groups.
  /// @param period time between two messages of a node.
  FleetPlay(bool divided, milliseconds period) : period(period), random(20261204) {
    std::vector<gateway::EndpointEntry> entries(kEndpoints);
    for (int number = 0; number < kEndpoints; ++number) {
      entries[static_cast<std::size_t>(number)].id = "i-" + std::to_string(1000 + number);
      entries[static_cast<std::size_t>(number)].service = "model";
      entries[static_cast<std::size_t>(number)].zone = "z" + std::to_string(number % kZones);
    }
    for (int number = 0; number < kNodes; ++number) {
      this->AddNode(number, divided, entries);
    }
  }

  FleetFigures Play() {
    for (milliseconds now{0}; now < kPlay; now += kStep) {
      this->EndRequests(now);
      this->SendMessages(now);
      const double rate =
          kRequestsPerSecond * (now >= kBurstStart && now < kBurstEnd ? kBurstFactor : 1);
      std::poisson_distribution<int> arrivals(rate * Seconds(kStep));
      for (int count = arrivals(this->random); count > 0; --count) {
        this->Send(this->random() % kNodes, now, rate);
      }
    }
    std::int64_t all = 0;
    for (const int count : this->arrivals) {
      all += count;
    }
    this->figures.arrivals = static_cast<int>(all);
    this->figures.busiest_over_mean =
        static_cast<double>(*std::max_element(this->arrivals.begin(), this->arrivals.end())) *
        kEndpoints / static_cast<double>(all);
    this->figures.messages_per_second =
        static_cast<double>(this->messages) / (kNodes * Seconds(kPlay));
    return this->figures;
  }

 private:
  using Loads = std::vector<int>;

  struct Node {
    std::vector<std::size_t> peers;      ///< the other nodes of the group
    std::vector<std::size_t> endpoints;  ///< those of the group
    Loads own = Loads(kEndpoints, 0);
    Loads told = Loads(kEndpoints, 0);  ///< own, as of the last message
  };

  struct Request {
    std::size_t node;
    std::size_t endpoint;
    milliseconds end;
  };

  static double Seconds(milliseconds time) { return std::chrono::duration<double>(time).count(); }

  static ListedNode ListedNodeAt(int number) {
    const int zone = number % kZones;
    const std::string address =
        "10.0." + std::to_string(zone) + "." + std::to_string(1 + number / kZones);
    return {"n" + std::to_string(1000 + number), "z" + std::to_string(zone),
            net::asio::ip::make_address(address)};
  }

  void AddNode(int number, bool divided, const std::vector<gateway::EndpointEntry>& entries) {
    Node& node = this->nodes.emplace_back();
    PeerGroups groups(ListedNodeAt(number));
    for (int other = 0; divided && other < kNodes; ++other) {
      groups.Put(ListedNodeAt(other));
    }
    const gateway::EndpointGroup selected = groups.Select(entries);
    for (std::size_t index = 0; index < entries.size(); ++index) {
      if (selected.shared_by.contains(entries[index].id)) {
        node.endpoints.push_back(index);
      }
    }
    for (int other = 0; other < kNodes; ++other) {
      if (other != number &&
          (!divided || groups.OwnGroup().contains(ListedNodeAt(other).address))) {
        node.peers.push_back(static_cast<std::size_t>(other));
      }
    }
  }

  void EndRequests(milliseconds now) {
    std::erase_if(this->requests, [&](const Request& request) {
      if (request.end > now) {
        return false;
      }
      --this->running[request.endpoint];
      --this->nodes[request.node].own[request.endpoint];
      return true;
    });
  }

  void SendMessages(milliseconds now) {
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
      const milliseconds offset = static_cast<int>(index) * kStep;
      if ((now + offset) % this->period < kStep) {
        this->nodes[index].told = this->nodes[index].own;
        this->messages += this->nodes[index].peers.size();
      }
    }
  }

  void Send(std::size_t index, milliseconds now, double rate) {
    Node& node = this->nodes[index];
    std::vector<std::size_t> usable;
    std::vector<gateway::PlacementCandidate> candidates;
    for (const std::size_t endpoint : node.endpoints) {
      int load = node.own[endpoint];
      for (const std::size_t peer : node.peers) {
        load += this->nodes[peer].told[endpoint];
      }
      if (load <= kSlots) {
        usable.push_back(endpoint);
        candidates.push_back({(load + 1.0) / kSlots, kSlots});
      }
    }
    if (usable.empty()) {
      return;  // refused at the node
    }
    const double share = static_cast<double>(node.peers.size()) / kNodes;
    const double unseen = rate * share * Seconds(this->period) / 2;
    const double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
    const std::size_t endpoint = usable[gateway::Placement::Choose(candidates, unseen, draw)];
    ++this->arrivals[endpoint];
    if (this->running[endpoint] >= kSlots + kEndpointQueue) {
      ++this->figures.turned_away;
      return;
    }
    ++this->running[endpoint];
    ++node.own[endpoint];
    this->requests.push_back({index, endpoint, now + kRun});
  }

  milliseconds period;
  std::mt19937 random;
  std::vector<Node> nodes;
  std::vector<Request> requests;
  Loads running = Loads(kEndpoints, 0);
  Loads arrivals = Loads(kEndpoints, 0);
  std::uint64_t messages = 0;
  FleetFigures figures;
};

TEST_CASE("groups of a fleet of 300 nodes need few messages and turn hardly any request away") {
  const FleetFigures divided = FleetPlay(true, milliseconds(100)).Play();
  MESSAGE("arrivals ", divided.arrivals, " turned away ", divided.turned_away, " busiest ",
          divided.busiest_over_mean, " messages ", divided.messages_per_second);
  CHECK(divided.turned_away < divided.arrivals * 2 / 100);
  CHECK(divided.messages_per_second < 160);
  CHECK(divided.busiest_over_mean < 1.5);
}

TEST_CASE("all with all at the same fleet sends more and knows less") {
  const FleetFigures divided = FleetPlay(true, milliseconds(100)).Play();
  const FleetFigures whole = FleetPlay(false, milliseconds(740)).Play();
  CHECK(whole.messages_per_second > 2 * divided.messages_per_second);
  CHECK(whole.turned_away >= divided.turned_away);
}

}  // namespace
}  // namespace lentilhead::peers
