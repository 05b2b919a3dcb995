#pragma once

#include <cstdint>
#include <string>

#include "jobs/job_directory.h"

namespace lentilhead::jobs {

/// Counts the waiting tokens of a route against the route's limit, for each customer apart.
///
/// All nodes apply the same order, that of the store: a submitted job counts every accepted job and
/// the jobs that were submitted before it. Two jobs submitted at the same time to different nodes
/// therefore cannot both take the last free tokens.
class WaitingTokenLimit {
 public:
  /// Returns the tokens that the accepted jobs of a route have waiting.
  /// @param customer counts only the jobs of this customer; empty counts all jobs.
  [[nodiscard]] static std::int64_t Waiting(const JobDirectory& directory, const std::string& route,
                                            const std::string& customer = "");

  /// Returns the tokens that count before those of a submitted job.
  /// @param directory claims as new as that of the job, or newer.
  [[nodiscard]] static std::int64_t WaitingBefore(const JobDirectory& directory,
                                                  const Claim& submitted);

  /// Returns by how many tokens a job exceeds the limit, or 0 if it fits.
  /// @param limit limit of the route; 0 for none.
  [[nodiscard]] static std::int64_t Excess(std::int64_t waiting, std::int64_t tokens,
                                           std::int64_t limit);
};

}  // namespace lentilhead::jobs
