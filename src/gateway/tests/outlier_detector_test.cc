#include "gateway/outlier_detector.h"

#include <doctest/doctest.h>

#include <random>

#include "gateway/endpoint_registry.h"

namespace lentilhead::gateway {
namespace {

using std::chrono::milliseconds;

const net::SteadyTime kStart = net::SteadyTime{} + std::chrono::hours(1);
constexpr int kNodes = 16;  // a quarter of them in each availability zone
constexpr int kEndpoints = 20;

/// Nodes that send requests to random endpoints and exchange their failure reports.
class Cluster {
 public:
  Cluster() {
    for (int node = 0; node < kNodes; ++node) {
      this->registries.push_back(
          std::make_unique<EndpointRegistry>("zone-" + std::to_string(node % 4)));
      for (int endpoint = 0; endpoint < kEndpoints; ++endpoint) {
        EndpointEntry entry;
        entry.id = "e" + std::to_string(endpoint);
        entry.service = "svc";
        entry.slots = 8;
        this->registries.back()->Put(entry);
      }
    }
  }

  /// Runs two seconds with 60 requests per second at each node, spread evenly over the endpoints.
  /// @param fails tells whether a request of a node at an endpoint fails; its last argument is a
  ///   number from 0 to 99 drawn for the request.
  template <class Fails>
  void Run(Fails fails) {
    std::mt19937 random(7);
    for (milliseconds time{0}; time < milliseconds(2000); time += milliseconds(100)) {
      for (int node = 0; node < kNodes; ++node) {
        for (int request = 0; request < 6; ++request) {
          const int endpoint = static_cast<int>(random() % kEndpoints);
          EndpointState& state = *this->registries[node]->All().at("e" + std::to_string(endpoint));
          EndpointFeedback::RecordAttempt(state, kStart + time);
          if (fails(node, endpoint, static_cast<int>(random() % 100))) {
            EndpointFeedback::RecordErrorAnswer(state, kStart + time);
          }
        }
      }
    }
    const net::SteadyTime now = kStart + milliseconds(2000);
    for (int node = 0; node < kNodes; ++node) {
      const FailureReport report =
          this->registries[node]->Outliers().OwnReport(this->registries[node]->All(), now);
      for (int other = 0; other < kNodes; ++other) {
        if (other != node) {
          this->registries[other]->Outliers().SetPeerReport("n" + std::to_string(node), report);
        }
      }
    }
    for (const auto& registry : this->registries) {
      registry->Outliers().UpdateEjections(registry->All(), now);
    }
  }

  [[nodiscard]] std::vector<std::string> Ejected(int node) const {
    std::vector<std::string> ids;
    for (const auto& [id, state] : this->registries[static_cast<std::size_t>(node)]->All()) {
      if (state->ejected) {
        ids.push_back(id);
      }
    }
    return ids;
  }

  std::vector<std::unique_ptr<EndpointRegistry>> registries;
};

TEST_CASE("an endpoint that fails four in ten requests is ejected by every node") {
  Cluster cluster;
  cluster.Run([](int, int endpoint, int draw) { return endpoint == 3 && draw < 40; });
  for (int node = 0; node < kNodes; ++node) {
    CHECK(cluster.Ejected(node) == std::vector<std::string>{"e3"});
  }
}

TEST_CASE("failures spread evenly over the endpoints eject none") {
  Cluster cluster;
  cluster.Run([](int, int, int draw) { return draw < 5; });
  CHECK(cluster.Ejected(0).empty());
}

TEST_CASE("an endpoint that fails requests of one zone's nodes is ejected in that zone alone") {
  Cluster cluster;
  cluster.Run([](int node, int endpoint, int) { return endpoint == 3 && node % 4 == 1; });
  CHECK(cluster.Ejected(1) == std::vector<std::string>{"e3"});
  CHECK(cluster.Ejected(2).empty());
}

TEST_CASE(
    "an ejected endpoint serves online work when no other has a free slot and is restored later") {
  Cluster cluster;
  cluster.Run([](int, int endpoint, int) { return endpoint == 3; });
  EndpointRegistry& registry = *cluster.registries[0];
  const net::SteadyTime now = kStart + milliseconds(2000);
  for (const auto& [id, state] : registry.All()) {
    state->own_online = id == "e3" ? 0 : 3;
  }
  CHECK(registry.Choose({"svc", {}, WorkClass::kOnline}, now).endpoint->entry.id != "e3");
  for (const auto& [id, state] : registry.All()) {
    state->own_online = id == "e3" ? 0 : 20;
  }
  CHECK(registry.Choose({"svc", {}, WorkClass::kOnline}, now).endpoint->entry.id == "e3");
  CHECK_FALSE(registry.Choose({"svc", {}, WorkClass::kBatch}, now).endpoint);
  for (int peer = 1; peer < kNodes; ++peer) {
    registry.Outliers().RemovePeer("n" + std::to_string(peer));
  }
  registry.Outliers().UpdateEjections(registry.All(), now + std::chrono::seconds(12));
  CHECK(cluster.Ejected(0).empty());
}

}  // namespace
}  // namespace lentilhead::gateway
