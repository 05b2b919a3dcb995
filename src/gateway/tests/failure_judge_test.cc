#include "gateway/failure_judge.h"

#include <doctest/doctest.h>

#include <random>

#include "gateway/endpoint_book.h"

namespace lentilhead::gateway {
namespace {

using std::chrono::milliseconds;

const net::SteadyTime kStart = net::SteadyTime{} + std::chrono::hours(1);
constexpr int kNodes = 16;  // a quarter of them in each availability zone
constexpr int kEndpoints = 20;

/// Nodes that send requests in turn to all endpoints and tell each other what failed.
class Cluster {
 public:
  Cluster() {
    for (int node = 0; node < kNodes; ++node) {
      this->books.push_back(std::make_unique<EndpointBook>("zone-" + std::to_string(node % 4)));
      for (int endpoint = 0; endpoint < kEndpoints; ++endpoint) {
        EndpointEntry entry;
        entry.id = "e" + std::to_string(endpoint);
        entry.service = "svc";
        entry.slots = 8;
        this->books.back()->Put(entry);
      }
    }
  }

  /// Plays two seconds with 60 requests a second at each node, at all endpoints alike.
  /// @param fails tells whether a request of a node at an endpoint fails; its last argument is a
  ///   number from 0 to 99 drawn for the request.
  template <class Fails>
  void Play(Fails fails) {
    std::mt19937 random(7);
    for (milliseconds time{0}; time < milliseconds(2000); time += milliseconds(100)) {
      for (int node = 0; node < kNodes; ++node) {
        for (int request = 0; request < 6; ++request) {
          const int endpoint = static_cast<int>(random() % kEndpoints);
          EndpointState& state = *this->books[node]->All().at("e" + std::to_string(endpoint));
          EndpointEvidence::NoteAttempt(state, kStart + time);
          if (fails(node, endpoint, static_cast<int>(random() % 100))) {
            EndpointEvidence::NoteUnsound(state, kStart + time);
          }
        }
      }
    }
    const net::SteadyTime now = kStart + milliseconds(2000);
    for (int node = 0; node < kNodes; ++node) {
      const FailureReport report =
          this->books[node]->Failures().OwnReport(this->books[node]->All(), now);
      for (int other = 0; other < kNodes; ++other) {
        if (other != node) {
          this->books[other]->Failures().SetPeerReport("n" + std::to_string(node), report);
        }
      }
    }
    for (const auto& book : this->books) {
      book->Failures().Judge(book->All(), now);
    }
  }

  [[nodiscard]] std::vector<std::string> Doubted(int node) const {
    std::vector<std::string> ids;
    for (const auto& [id, state] : this->books[static_cast<std::size_t>(node)]->All()) {
      if (state->doubted) {
        ids.push_back(id);
      }
    }
    return ids;
  }

  std::vector<std::unique_ptr<EndpointBook>> books;
};

TEST_CASE("an endpoint that fails four in ten requests is doubted by every node") {
  Cluster cluster;
  cluster.Play([](int, int endpoint, int draw) { return endpoint == 3 && draw < 40; });
  for (int node = 0; node < kNodes; ++node) {
    CHECK(cluster.Doubted(node) == std::vector<std::string>{"e3"});
  }
}

TEST_CASE("failures that come everywhere alike make no endpoint doubtful") {
  Cluster cluster;
  cluster.Play([](int, int, int draw) { return draw < 5; });
  CHECK(cluster.Doubted(0).empty());
}

TEST_CASE("an endpoint that fails callers of one zone is doubted in that zone alone") {
  Cluster cluster;
  cluster.Play([](int node, int endpoint, int) { return endpoint == 3 && node % 4 == 1; });
  CHECK(cluster.Doubted(1) == std::vector<std::string>{"e3"});
  CHECK(cluster.Doubted(2).empty());
}

TEST_CASE("a doubted endpoint serves online work when no other has room, and fades into trust") {
  Cluster cluster;
  cluster.Play([](int, int endpoint, int) { return endpoint == 3; });
  EndpointBook& book = *cluster.books[0];
  const net::SteadyTime now = kStart + milliseconds(2000);
  for (const auto& [id, state] : book.All()) {
    state->own_online = id == "e3" ? 0 : 3;
  }
  CHECK(book.Choose({"svc", {}, WorkClass::kOnline}, now).endpoint->entry.id != "e3");
  for (const auto& [id, state] : book.All()) {
    state->own_online = id == "e3" ? 0 : 20;
  }
  CHECK(book.Choose({"svc", {}, WorkClass::kOnline}, now).endpoint->entry.id == "e3");
  CHECK_FALSE(book.Choose({"svc", {}, WorkClass::kBatch}, now).endpoint);
  for (int peer = 1; peer < kNodes; ++peer) {
    book.Failures().RemovePeer("n" + std::to_string(peer));
  }
  book.Failures().Judge(book.All(), now + std::chrono::seconds(12));
  CHECK(cluster.Doubted(0).empty());
}

}  // namespace
}  // namespace lentilhead::gateway
