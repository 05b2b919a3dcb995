#include "endpoint/internal/candidate_pool.h"

#include <algorithm>

#include "framework/hash.h"

namespace lentilhead::endpoint::internal {

namespace {

constexpr double kMaxPreferredLoadOverMean = 1.25;  ///< Load bound of a preferred candidate.
constexpr double kSlowLatencyRatio = 2.0;           ///< Time to the first byte, over the median.

double MedianFirstByteOf(const std::vector<Candidate>& candidates) {
  std::vector<double> measured;
  measured.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    if (candidate.first_byte_seconds > 0) {
      measured.push_back(candidate.first_byte_seconds);
    }
  }
  if (measured.empty()) {
    return 0;
  }
  const auto middle = measured.begin() + static_cast<std::ptrdiff_t>(measured.size() / 2);
  std::nth_element(measured.begin(), middle, measured.end());
  return *middle;
}

}  // namespace

CandidatePool::CandidatePool(const std::vector<Candidate>& candidates)
    : candidates(candidates), median_first_byte(MedianFirstByteOf(candidates)) {
  double load = 0;
  double cost = 0;
  std::size_t fast = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    load += candidates[index].LoadWithOneMore();
    if (!this->IsSlow(index)) {
      cost += this->Cost(index);
      fast += 1;
    }
  }
  this->mean_load = load / static_cast<double>(candidates.size());
  this->mean_cost = fast == 0 ? 0 : cost / static_cast<double>(fast);
}

bool CandidatePool::IsSlow(std::size_t index) const {
  return this->candidates[index].first_byte_seconds > kSlowLatencyRatio * this->median_first_byte;
}

double CandidatePool::Cost(std::size_t index) const {
  const Candidate& candidate = this->candidates[index];
  if (!this->IsSlow(index)) {
    return candidate.LoadWithOneMore();
  }
  return candidate.LoadWithOneMore() * candidate.first_byte_seconds / this->median_first_byte;
}

std::size_t CandidatePool::Cheapest() const {
  std::size_t cheapest = 0;
  for (std::size_t index = 1; index < this->candidates.size(); ++index) {
    if (this->Cost(index) < this->Cost(cheapest)) {
      cheapest = index;
    }
  }
  return cheapest;
}

std::optional<std::size_t> CandidatePool::PreferredFor(std::uint64_t prefix_hash) const {
  if (prefix_hash == 0) {
    return std::nullopt;
  }
  for (const std::size_t index : this->HighestTwoFor(prefix_hash)) {
    if (this->CanTakePreferred(index)) {
      return index;
    }
  }
  return std::nullopt;
}

bool CandidatePool::CanTakePreferred(std::size_t index) const {
  const Candidate& candidate = this->candidates[index];
  const double bound = std::max(kMaxPreferredLoadOverMean * this->mean_load, 1.0 / candidate.slots);
  return candidate.requests < candidate.slots && candidate.LoadWithOneMore() <= bound &&
         !this->IsSlow(index);
}

std::array<std::size_t, 2> CandidatePool::HighestTwoFor(std::uint64_t prefix_hash) const {
  std::array<std::size_t, 2> first{};
  std::array<std::uint64_t, 2> weights{};
  for (std::size_t index = 0; index < this->candidates.size(); ++index) {
    const std::uint64_t weight = framework::Hash(*this->candidates[index].name, prefix_hash);
    if (index == 0 || weight > weights[0]) {
      first = {index, first[0]};
      weights = {weight, weights[0]};
    } else if (index == 1 || weight > weights[1]) {
      first[1] = index;
      weights[1] = weight;
    }
  }
  return first;
}

}  // namespace lentilhead::endpoint::internal
