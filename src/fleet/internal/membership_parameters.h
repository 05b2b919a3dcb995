#pragma once

#include <chrono>
#include <cstddef>

namespace lentilhead::fleet::internal {

/// Parameters of the membership protocol.
struct MembershipParameters {
  std::chrono::milliseconds heartbeat_period{500};
  std::chrono::milliseconds probe_time{1'000};      ///< Until a silent probed instance is suspect.
  std::chrono::milliseconds suspicion_time{3'000};  ///< Until a suspect instance is declared dead.
  std::chrono::milliseconds dead_retention{600'000};  ///< Until a dead instance is removed.
  std::chrono::milliseconds mismatch_time{5'000};     ///< Until differing digests cause a request.
  std::chrono::milliseconds sync_period{30'000};      ///< Minimum between requests for a view.
  std::size_t indirect_probes = 2;
  std::size_t eager_peers = 4;
  std::size_t updates_per_message = 4;
  int seed_interval = 4;  ///< Periods between heartbeats to instances that are dead or known only
                          ///< from the platform's list.
};

}  // namespace lentilhead::fleet::internal
