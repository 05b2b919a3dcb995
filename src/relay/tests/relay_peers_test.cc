#include "relay/relay_peers.h"

#include <doctest/doctest.h>

namespace lentilhead::relay {
namespace {

using std::chrono::milliseconds;

net::asio::ip::address Node(int number) {
  return net::asio::ip::make_address("10.0.0." + std::to_string(number));
}

TEST_CASE("a node of another zone is asked after the first one") {
  // A whole zone may be cut off, and its nodes not know it yet.
  RelayPeers peers(Node(1));
  peers.SetNodes({{Node(1), "a"}, {Node(2), "a"}, {Node(3), "a"}, {Node(4), "b"}});
  const net::SteadyTime now = net::Now();
  peers.RecordNews(Node(2), PeerNews::kServing, now);
  CHECK(peers.Choose({}, 0.99, now) == Node(2));
  CHECK(peers.Choose({Node(2)}, 0, now) == Node(4));
  CHECK(peers.Choose({Node(2), Node(4)}, 0, now) == Node(3));
  CHECK(!peers.Choose({Node(2), Node(3), Node(4)}, 0, now));
}

TEST_CASE("a node that is cut off, full or gone is not asked for a while") {
  // Asking it again would cost the request the time in which another one could serve it.
  RelayPeers peers(Node(1));
  peers.SetNodes({{Node(2), "a"}});
  const net::SteadyTime now = net::Now();
  for (const TunnelOutcome outcome : {TunnelOutcome::kCutOff, TunnelOutcome::kFull,
                                      TunnelOutcome::kLeaving, TunnelOutcome::kNoAnswer}) {
    peers.SetNodes({});
    peers.SetNodes({{Node(2), "a"}});
    peers.RecordOutcome(Node(2), outcome, now);
    CHECK(!peers.Choose({}, 0, now + milliseconds(100)));
    CHECK(peers.Choose({}, 0, now + milliseconds(2100)) == Node(2));
  }
  peers.RecordNews(Node(2), PeerNews::kCutOff, now + milliseconds(2200));
  CHECK(!peers.Choose({}, 0, now + milliseconds(2300)));
}

// Guards against requests on an open connection through a node that is about to exit.
TEST_CASE("a node that is shutting down is not chosen as long as it says so") {
  RelayPeers peers(Node(1));
  peers.SetNodes({{Node(2), "a"}});
  const net::SteadyTime now = net::Now();
  CHECK(!peers.IsLeaving(Node(2), now));
  peers.RecordNews(Node(2), PeerNews::kLeaving, now);
  peers.RecordNews(Node(2), PeerNews::kLeaving, now + milliseconds(300));
  CHECK(peers.IsLeaving(Node(2), now + milliseconds(900)));
  CHECK(!peers.Choose({}, 0, now + milliseconds(900)));
  CHECK(!peers.IsLeaving(Node(2), now + milliseconds(1100)));
}

// Guards against sound connections that are dropped while no new one is asked for.
TEST_CASE("a node that is full, lost or cut off is not taken for one that is shutting down") {
  RelayPeers peers(Node(1));
  peers.SetNodes({{Node(2), "a"}});
  const net::SteadyTime now = net::Now();
  peers.RecordOutcome(Node(2), TunnelOutcome::kFull, now);
  peers.RecordBroken(Node(2), now);
  peers.RecordNews(Node(2), PeerNews::kCutOff, now);
  CHECK(!peers.Choose({}, 0, now + milliseconds(100)));
  CHECK(!peers.IsLeaving(Node(2), now + milliseconds(100)));
}

TEST_CASE("only listed nodes are listed") {
  RelayPeers peers(Node(1));
  peers.SetNodes({{Node(2), "a"}});
  CHECK(peers.IsListed(Node(1)));
  CHECK(peers.IsListed(Node(2)));
  CHECK(!peers.IsListed(Node(3)));
}

}  // namespace
}  // namespace lentilhead::relay
