#include "load/workload_tally.h"

#include <algorithm>
#include <cmath>

namespace lentilhead::load {

namespace {

std::chrono::nanoseconds QuantileOf(std::vector<std::chrono::nanoseconds> samples,
                                    double quantile) {
  if (samples.empty()) {
    return std::chrono::nanoseconds(0);
  }
  const auto rank =
      static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(samples.size())));
  const std::size_t index = std::min(std::max<std::size_t>(rank, 1), samples.size()) - 1;
  std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index),
                   samples.end());
  return samples[index];
}

}  // namespace

const char* NameOf(CallEnd end) {
  switch (end) {
    case CallEnd::kCompleted:
      return "completed";
    case CallEnd::kRefused:
      return "refused";
    case CallEnd::kErrorEvent:
      return "error_event";
    case CallEnd::kCut:
      return "cut";
    case CallEnd::kWrong:
      return "wrong";
    case CallEnd::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

void WorkloadTally::Add(const CallResult& result) {
  this->calls += 1;
  this->ends[result.end] += 1;
  this->tokens += static_cast<std::uint64_t>(result.tokens);
  if (result.end == CallEnd::kCompleted) {
    this->first_tokens.push_back(result.first_token);
    this->gaps.push_back(result.longest_gap);
    return;
  }
  this->reasons[std::to_string(result.status) + " " + result.code] += 1;
}

void WorkloadTally::Merge(const WorkloadTally& other) {
  this->calls += other.calls;
  this->tokens += other.tokens;
  for (const auto& [end, count] : other.ends) {
    this->ends[end] += count;
  }
  for (const auto& [reason, count] : other.reasons) {
    this->reasons[reason] += count;
  }
  this->first_tokens.insert(this->first_tokens.end(), other.first_tokens.begin(),
                            other.first_tokens.end());
  this->gaps.insert(this->gaps.end(), other.gaps.begin(), other.gaps.end());
}

std::uint64_t WorkloadTally::CountOf(CallEnd end) const {
  const auto found = this->ends.find(end);
  return found == this->ends.end() ? 0 : found->second;
}

std::chrono::nanoseconds WorkloadTally::FirstTokenQuantile(double quantile) const {
  return QuantileOf(this->first_tokens, quantile);
}

std::chrono::nanoseconds WorkloadTally::GapQuantile(double quantile) const {
  return QuantileOf(this->gaps, quantile);
}

}  // namespace lentilhead::load
