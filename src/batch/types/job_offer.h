#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace lentilhead::batch {

/// Pending work of one job that its owner offers to endpoint owners.
struct JobOffer {
  std::string job;
  std::string caller;
  std::string service;
  std::uint64_t epoch = 0;
  std::size_t pending = 0;       ///< Items that may run concurrently with other batch items.
  std::size_t pending_solo = 0;  ///< Items that must be the only batch item at their endpoint.
  std::chrono::milliseconds laxity{0};  ///< Time to the deadline minus the remaining work.
};

}  // namespace lentilhead::batch
