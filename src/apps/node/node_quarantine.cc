#include <algorithm>

#include "apps/node/node_program.h"
#include "gateway/probe_turn.h"

namespace lentilhead::node {

namespace {

using std::chrono::milliseconds;

// Peers answer the first datagram of a node within about 50 ms.
constexpr milliseconds kEvidenceWait{150};
constexpr milliseconds kCheckPeriod{10};

}  // namespace

net::asio::awaitable<void> NodeProgram::AwaitEvidence() {
  net::asio::steady_timer timer(this->executor);
  net::SteadyTime wait_end = net::SteadyTime::max();
  while (!this->gateway.evidence_loaded && net::Now() < wait_end) {
    if (this->gateway.endpoints_loaded) {
      wait_end = std::min(wait_end, net::Now() + kEvidenceWait);
    }
    timer.expires_after(kCheckPeriod);
    co_await timer.async_wait(net::kAwaitWithError);
  }
  this->gateway.evidence_loaded = true;
}

void NodeProgram::ConnectQuarantine() {
  this->gateway.evidence_loaded = false;
  this->gateway.quarantine.OnChange([this] { this->peers.NoteChange(); });
  this->gateway.quarantine.SetTurnCheck([this](gateway::PartKey part, std::uint64_t turn) {
    // In a fleet of several groups a turn is that of a node of one group.
    const std::string key = gateway::FormatPartKey(part) + '#' + std::to_string(turn);
    return this->presence.Groups().GroupsBefore(key) == 0 &&
           gateway::ProbeTurn::IsOwn(this->peers.Alive(), this->peers.Incarnation(), part, turn);
  });
}

}  // namespace lentilhead::node
