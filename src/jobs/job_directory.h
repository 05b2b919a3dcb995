#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "jobs/types/claim.h"
#include "net/http_types.h"
#include "rowstore/types/row.h"

namespace lentilhead::jobs {

/// The newest claim of each job that this node has received.
class JobDirectory {
 public:
  /// A claim, and the time since when no node has run its job.
  struct Entry {
    Claim claim;
    net::SteadyTime orphan_since;  ///< epoch while no takeover is needed
  };

  /// Stores a claim unless the stored one is as new or newer.
  /// @return whether the claim was stored.
  bool Put(const Claim& claim);

  /// Removes the claim of a job, unless a newer one has been stored since.
  /// @param version version of the removal.
  /// @return whether no claim is left.
  bool Remove(const std::string& job, rowstore::Version version);

  /// Removes the claims that a snapshot of all claims does not contain.
  /// @param snapshot_jobs jobs in the snapshot.
  /// @param version version of the snapshot; newer claims stay.
  /// @return the jobs whose claims were removed.
  std::vector<std::string> RetainOnly(const std::set<std::string>& snapshot_jobs,
                                      rowstore::Version version);

  /// Tells whether a claim is the newest one known of its job.
  [[nodiscard]] bool IsNewest(const Claim& claim) const;

  /// Returns the claim of a job, or null.
  [[nodiscard]] const Claim* Find(const std::string& job) const;

  [[nodiscard]] std::map<std::string, Entry>& Entries() { return this->entries; }
  [[nodiscard]] const std::map<std::string, Entry>& Entries() const { return this->entries; }

 private:
  std::map<std::string, Entry> entries;
};

/// Decides which node takes over a job whose owner is lost.
class TakeoverPolicy {
 public:
  /// Returns how long a node waits before it takes over a job. The delay grows with the rank of its
  /// group and with its rank in the group for this job, so that nodes do not compete.
  /// @param alive incarnations of the live nodes of its group.
  /// @param self incarnation of this node.
  /// @param groups_before number of groups that rank before its own for this job.
  [[nodiscard]] static std::chrono::milliseconds Delay(const std::string& job,
                                                       const std::vector<std::string>& alive,
                                                       const std::string& self,
                                                       std::size_t groups_before);

  /// Tells whether a node ranks first for a job among the live nodes.
  [[nodiscard]] static bool IsFirst(const std::string& job, const std::vector<std::string>& alive,
                                    const std::string& self, std::size_t groups_before) {
    return Delay(job, alive, self, groups_before) == Delay(job, {}, self, 0);
  }
};

}  // namespace lentilhead::jobs
