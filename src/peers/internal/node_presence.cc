#include "peers/node_presence.h"

#include <nlohmann/json.hpp>

#include "net/log_line.h"

namespace lentilhead::peers {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAnnouncePeriod{1500};
constexpr milliseconds kPresenceLifetime{4200};  // two periods and the pause of the feed
constexpr milliseconds kWriteLimit{1000};

}  // namespace

NodePresence::NodePresence(gateway::Gateway& gateway, rowstore::RowStore& store,
                           PeerExchange& exchange, std::string address)
    : gateway(gateway), store(store), exchange(exchange), address(std::move(address)) {}

void NodePresence::Note(const std::vector<rowstore::Row>& rows) {
  for (const rowstore::Row& row : rows) {
    const nlohmann::json value = nlohmann::json::parse(row.value, nullptr, false);
    if (row.removed || !value.is_object()) {
      continue;
    }
    const auto start = value.value("start", std::string());
    net::ErrorCode error;
    const auto ip = net::asio::ip::make_address(value.value("address", std::string()), error);
    if (start.empty() || error) {
      net::LogLine("node_row_unreadable").With("node", row.key.key);
      continue;
    }
    this->exchange.AddCandidate(ip);
    this->seen[start] = net::Now();
    this->newest_start[row.key.key] = start;
  }
}

net::asio::awaitable<void> NodePresence::Announce(std::function<bool()> busy) {
  bool announced = false;
  while (true) {
    if (!announced || busy()) {
      const nlohmann::json value = {{"start", this->exchange.Incarnation()},
                                    {"address", this->address}};
      rowstore::Transaction transaction;
      transaction.written.push_back({{kTable, "", this->exchange.Name()}, value.dump()});
      rowstore::CommitOutcome outcome =
          co_await this->store.Commit(std::move(transaction), net::Now() + kWriteLimit);
      announced = announced || std::holds_alternative<rowstore::Committed>(outcome);
    }
    net::asio::steady_timer timer(this->gateway.executor, kAnnouncePeriod);
    co_await timer.async_wait(net::kAwaitWithError);
  }
}

bool NodePresence::IsAlive(const std::string& incarnation) const {
  if (this->exchange.IsAlive(incarnation)) {
    return true;
  }
  const std::string node = PeerExchange::NodeOf(incarnation);
  if (node == this->exchange.Name() || this->exchange.HasNewerStart(incarnation)) {
    return false;
  }
  const auto newest = this->newest_start.find(node);
  if (newest != this->newest_start.end() && newest->second != incarnation) {
    return false;
  }
  const auto sign = this->seen.find(incarnation);
  return sign != this->seen.end() && net::Now() - sign->second < kPresenceLifetime;
}

void NodePresence::NoteStandstill() {
  for (auto& [start, time] : this->seen) {
    time = net::Now();
  }
}

}  // namespace lentilhead::peers
