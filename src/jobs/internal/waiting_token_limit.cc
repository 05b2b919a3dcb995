#include "jobs/waiting_token_limit.h"

#include <algorithm>

namespace lentilhead::jobs {

std::int64_t WaitingTokenLimit::Waiting(const JobDirectory& directory, const std::string& route) {
  std::int64_t tokens = 0;
  for (const auto& [job, entry] : directory.Entries()) {
    if (entry.claim.state == JobState::kOpen && entry.claim.route == route) {
      tokens += entry.claim.waiting_tokens;
    }
  }
  return tokens;
}

std::int64_t WaitingTokenLimit::WaitingBefore(const JobDirectory& directory,
                                              const Claim& submitted) {
  std::int64_t tokens = Waiting(directory, submitted.route);
  for (const auto& [job, entry] : directory.Entries()) {
    if (entry.claim.state == JobState::kSubmitted && entry.claim.route == submitted.route &&
        entry.claim.version < submitted.version) {
      tokens += entry.claim.waiting_tokens;
    }
  }
  return tokens;
}

std::int64_t WaitingTokenLimit::Excess(std::int64_t waiting, std::int64_t tokens,
                                       std::int64_t limit) {
  return limit == 0 ? 0 : std::max<std::int64_t>(0, waiting + tokens - limit);
}

}  // namespace lentilhead::jobs
