#include "peers/node_presence.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

namespace lentilhead::peers {
namespace {

using net::asio::ip::make_address;

/// A node of a fleet of 40 in two zones; its event loop does not run.
class PresenceFixture {
 public:
  PresenceFixture()
      : gateway(this->context.get_executor(), "a"),
        store(this->context.get_executor(), {make_address("127.0.0.1"), 1}),
        view(this->gateway),
        exchange(this->gateway, this->view, {make_address("127.0.0.1"), 0}, "a-0", "a-0#1"),
        presence(this->gateway, this->store, this->exchange,
                 {"a-0", "a", make_address("10.0.0.1")}) {
    for (int number = 1; number < 40; ++number) {
      const std::string zone = number % 2 == 0 ? "a" : "b";
      const std::string name = zone + "-" + std::to_string(number);
      const std::string address = "10.0.0." + std::to_string(1 + number);
      const nlohmann::json row = {{"start", name + "#1"}, {"address", address}, {"zone", zone}};
      this->presence.Note({{{NodePresence::kTable, "", name}, row.dump(), 1, false}});
    }
  }

  net::asio::io_context context;
  gateway::Gateway gateway;
  rowstore::RowStore store;
  ClusterView view;
  PeerExchange exchange;
  NodePresence presence;
};

TEST_CASE_FIXTURE(PresenceFixture, "a node of another group that wrote a claim counts as alive") {
  REQUIRE(this->presence.Groups().Count() > 1);
  REQUIRE_FALSE(this->presence.Groups().IsInOwnGroup("b-1"));
  CHECK_FALSE(this->presence.IsAlive("b-99#7", net::Now()));
  this->presence.NoteWriter("b-99#7");
  CHECK(this->presence.IsAlive("b-99#7", net::Now()));
}

TEST_CASE_FIXTURE(PresenceFixture, "an older incarnation that wrote a claim does not") {
  this->presence.NoteWriter("b-1#0");
  CHECK_FALSE(this->presence.IsAlive("b-1#0", net::Now()));
  CHECK(this->presence.IsAlive("b-1#1", net::Now()));
}

TEST_CASE_FIXTURE(PresenceFixture,
                  "an outage of the store makes no node of another group look lost") {
  const net::SteadyTime end = net::Now() + std::chrono::seconds(5);
  CHECK_FALSE(this->presence.IsAlive("b-1#1", end));
  this->presence.NoteStore(false, end - std::chrono::milliseconds(100));
  this->presence.NoteStore(true, end);
  CHECK(this->presence.IsAlive("b-1#1", end));
  CHECK_FALSE(this->presence.IsAlive("b-1#1", end + std::chrono::seconds(5)));
}

}  // namespace
}  // namespace lentilhead::peers
