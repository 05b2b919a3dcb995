#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "endpoint/internal/candidate.h"

namespace lentilhead::endpoint::internal {

/// The candidates of one choice, with the statistics over all of them that the policies use.
class CandidatePool {
 public:
  /// @param candidates must not be empty and must outlive the pool.
  explicit CandidatePool(const std::vector<Candidate>& candidates);

  /// True if the time to the first byte of a candidate is much longer than the median.
  [[nodiscard]] bool IsSlow(std::size_t index) const;

  /// Load per slot with one more request; for a slow candidate, multiplied by its latency ratio,
  /// which is its time to the first byte over the median.
  [[nodiscard]] double Cost(std::size_t index) const;

  /// Mean cost of the candidates that are not slow.
  [[nodiscard]] double MeanCost() const { return this->mean_cost; }

  [[nodiscard]] std::size_t Cheapest() const;

  /// Returns the candidate that most likely has a prompt prefix cached: the first or second in
  /// rendezvous order that has a free slot, is not slow and whose load is within a bound over the
  /// mean. @return no value if neither qualifies or there is no prefix.
  [[nodiscard]] std::optional<std::size_t> PreferredFor(std::uint64_t prefix_hash) const;

 private:
  [[nodiscard]] bool CanTakePreferred(std::size_t index) const;
  [[nodiscard]] std::array<std::size_t, 2> HighestTwoFor(std::uint64_t prefix_hash) const;

  const std::vector<Candidate>& candidates;
  double median_first_byte = 0;
  double mean_load = 0;
  double mean_cost = 0;
};

}  // namespace lentilhead::endpoint::internal
