#include "peers/node_presence.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "net/log_line.h"
#include "platform/json_fields.h"

namespace lentilhead::peers {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAnnouncePeriod{1500};
// Two announcement periods, the 900 ms pause of the follower of the nodes' table and a margin.
constexpr milliseconds kPresenceLifetime{4200};
constexpr milliseconds kWriteTimeout{1000};

}  // namespace

NodePresence::NodePresence(gateway::Gateway& gateway, rowstore::RowStore& store,
                           PeerExchange& exchange, ListedNode self)
    : gateway(gateway), store(store), exchange(exchange), self(self), groups(std::move(self)) {}

void NodePresence::Note(const std::vector<rowstore::Row>& rows) {
  this->has_list = true;
  for (const rowstore::Row& row : rows) {
    const std::optional<nlohmann::json> value = platform::ParseObject(row.value);
    if (row.removed || !value) {
      continue;
    }
    const std::string incarnation = platform::TextField(*value, "start").value_or("");
    net::ErrorCode error;
    const auto ip =
        net::asio::ip::make_address(platform::TextField(*value, "address").value_or(""), error);
    if (incarnation.empty() || error) {
      net::LogLine("node_row_unreadable").With("node", row.key.key);
      continue;
    }
    this->exchange.AddCandidate(ip);
    this->groups.Put({row.key.key, platform::TextField(*value, "zone").value_or(""), ip});
    this->last_seen[incarnation] = net::Now();
    this->newest_incarnation[row.key.key] = incarnation;
  }
}

net::asio::awaitable<void> NodePresence::Announce(std::function<bool()> owns_jobs) {
  bool announced = false;
  while (true) {
    if (!announced || owns_jobs()) {
      const nlohmann::json value = {{"start", this->exchange.Incarnation()},
                                    {"address", this->self.address.to_string()},
                                    {"zone", this->self.zone}};
      rowstore::Transaction transaction;
      transaction.written.push_back({{kTable, "", this->exchange.Name()}, value.dump()});
      rowstore::CommitOutcome outcome =
          co_await this->store.Commit(std::move(transaction), net::Now() + kWriteTimeout);
      announced = announced || std::holds_alternative<rowstore::Committed>(outcome);
    }
    net::asio::steady_timer timer(this->gateway.executor, kAnnouncePeriod);
    co_await timer.async_wait(net::kAwaitWithError);
  }
}

bool NodePresence::IsAlive(const std::string& incarnation, net::SteadyTime now) const {
  if (this->exchange.IsAlive(incarnation)) {
    return true;
  }
  const std::string node = PeerExchange::NodeOfIncarnation(incarnation);
  if (node == this->exchange.Name() || this->exchange.HasOtherIncarnation(incarnation)) {
    return false;
  }
  const auto newest = this->newest_incarnation.find(node);
  if (newest != this->newest_incarnation.end() && newest->second != incarnation) {
    return false;
  }
  const auto seen = this->last_seen.find(incarnation);
  if (seen == this->last_seen.end()) {
    return false;
  }
  const net::SteadyTime last_sign =
      this->groups.IsInOwnGroup(node) ? seen->second : std::max(seen->second, this->last_outage);
  return now - last_sign < kPresenceLifetime;
}

void NodePresence::NoteStore(bool reachable, net::SteadyTime now) {
  if (!reachable) {
    this->last_outage = now;
  }
}

void NodePresence::NoteWriter(const std::string& incarnation) {
  if (!this->groups.IsInOwnGroup(PeerExchange::NodeOfIncarnation(incarnation))) {
    this->last_seen[incarnation] = net::Now();
  }
}

void NodePresence::RefreshAfterStall() {
  for (auto& [incarnation, time] : this->last_seen) {
    time = net::Now();
  }
}

}  // namespace lentilhead::peers
