#include "jobs/job_directory.h"

#include <xxhash.h>

#include <algorithm>

namespace lentilhead::jobs {

namespace {

// Long enough to receive the claim of another node.
constexpr std::chrono::milliseconds kFirstDelay{200};
// Longer than a takeover and the delivery of its claim to the other nodes.
constexpr std::chrono::milliseconds kRankDelay{1200};
// By then the first nodes of a group that is alive have tried.
constexpr std::chrono::milliseconds kGroupDelay{4000};

XXH64_hash_t RendezvousWeight(const std::string& job, const std::string& node) {
  const std::string text = job + '\n' + node;
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

bool JobDirectory::Put(const Claim& claim) {
  Entry& entry = this->entries[claim.job];
  if (claim.version <= entry.claim.version) {
    return false;
  }
  entry.claim = claim;
  entry.orphan_since = {};
  return true;
}

bool JobDirectory::Remove(const std::string& job, rowstore::Version version) {
  const auto found = this->entries.find(job);
  if (found != this->entries.end() && version < found->second.claim.version) {
    return false;
  }
  this->entries.erase(job);
  return true;
}

std::vector<std::string> JobDirectory::RetainOnly(const std::set<std::string>& snapshot_jobs,
                                                  rowstore::Version version) {
  std::vector<std::string> removed;
  for (const auto& [job, entry] : this->entries) {
    if (!snapshot_jobs.contains(job) && entry.claim.version <= version) {
      removed.push_back(job);
    }
  }
  for (const std::string& job : removed) {
    this->entries.erase(job);
  }
  return removed;
}

bool JobDirectory::IsNewest(const Claim& claim) const {
  const Claim* known = this->Find(claim.job);
  return known != nullptr && known->version <= claim.version;
}

const Claim* JobDirectory::Find(const std::string& job) const {
  const auto found = this->entries.find(job);
  return found == this->entries.end() ? nullptr : &found->second.claim;
}

std::chrono::milliseconds TakeoverPolicy::Delay(const std::string& job,
                                                const std::vector<std::string>& alive,
                                                const std::string& self,
                                                std::size_t groups_before) {
  const XXH64_hash_t own = RendezvousWeight(job, self);
  const auto before = std::count_if(alive.begin(), alive.end(), [&](const std::string& node) {
    return node != self && RendezvousWeight(job, node) > own;
  });
  return kFirstDelay + before * kRankDelay + groups_before * kGroupDelay;
}

}  // namespace lentilhead::jobs
