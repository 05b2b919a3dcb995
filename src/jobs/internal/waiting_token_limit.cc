#include "jobs/waiting_token_limit.h"

#include <algorithm>

namespace lentilhead::jobs {

namespace {

/// Sums the tokens of the accepted jobs of a route, and of those submitted before a version.
/// @param customer sums only the jobs of this customer; empty sums all jobs.
std::int64_t SumBefore(const JobDirectory& directory, const std::string& route,
                       const std::string& customer, rowstore::Version version) {
  std::int64_t tokens = 0;
  for (const auto& [job, entry] : directory.Entries()) {
    const Claim& claim = entry.claim;
    const bool counts = claim.state == JobState::kOpen ||
                        (claim.state == JobState::kSubmitted && claim.version < version);
    const bool is_of_customer = customer.empty() || claim.customer == customer;
    if (counts && is_of_customer && claim.route == route) {
      tokens += claim.waiting_tokens;
    }
  }
  return tokens;
}

}  // namespace

std::int64_t WaitingTokenLimit::Waiting(const JobDirectory& directory, const std::string& route,
                                        const std::string& customer) {
  return SumBefore(directory, route, customer, 0);
}

std::int64_t WaitingTokenLimit::WaitingBefore(const JobDirectory& directory,
                                              const Claim& submitted) {
  return SumBefore(directory, submitted.route, submitted.customer, submitted.version);
}

std::int64_t WaitingTokenLimit::Excess(std::int64_t waiting, std::int64_t tokens,
                                       std::int64_t limit) {
  return limit == 0 ? 0 : std::max<std::int64_t>(0, waiting + tokens - limit);
}

}  // namespace lentilhead::jobs
