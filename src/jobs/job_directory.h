#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "jobs/types/claim.h"
#include "net/http_types.h"
#include "rowstore/types/row.h"

namespace lentilhead::jobs {

/// The claims of all jobs as this node last saw them.
class JobDirectory {
 public:
  /// A claim and since when its owner is thought to be gone.
  struct Entry {
    Claim claim;
    net::SteadyTime orphan_since;  ///< epoch while the owner is alive
  };

  /// Takes over a claim unless a newer version is known.
  /// @return whether the claim is new or newer.
  bool Put(const Claim& claim);

  /// Forgets a job.
  void Remove(const std::string& job) { this->entries.erase(job); }

  /// Forgets the jobs that a reading of all claims lacks.
  /// @param listed jobs in the reading. @param version version that it shows; newer claims stay.
  /// @return the jobs that were forgotten.
  std::vector<std::string> RetainOnly(const std::set<std::string>& listed,
                                      rowstore::Version version);

  /// Returns the claim of a job, or nothing.
  [[nodiscard]] const Claim* Find(const std::string& job) const;

  [[nodiscard]] std::map<std::string, Entry>& Entries() { return this->entries; }

 private:
  std::map<std::string, Entry> entries;
};

/// Decides who goes on with a job whose owner is gone.
class TakeoverPolicy {
 public:
  /// Time that a node waits before it takes a job over: the first in rank at once, the others in
  /// turn, so that nodes do not race.
  /// @param alive starts of the nodes that are alive. @param self start of this node.
  [[nodiscard]] static std::chrono::milliseconds Delay(const std::string& job,
                                                       const std::vector<std::string>& alive,
                                                       const std::string& self);
};

}  // namespace lentilhead::jobs
