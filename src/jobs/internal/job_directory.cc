#include "jobs/job_directory.h"

#include <xxhash.h>

#include <algorithm>

namespace lentilhead::jobs {

namespace {

constexpr std::chrono::milliseconds kFirstDelay{200};  // a claim of another node is seen by then
constexpr std::chrono::milliseconds kRankDelay{1200};  // a take-over and its feed take less

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

std::vector<std::string> JobDirectory::RetainOnly(const std::set<std::string>& listed,
                                                  rowstore::Version version) {
  std::vector<std::string> forgotten;
  for (const auto& [job, entry] : this->entries) {
    if (!listed.contains(job) && entry.claim.version <= version) {
      forgotten.push_back(job);
    }
  }
  for (const std::string& job : forgotten) {
    this->entries.erase(job);
  }
  return forgotten;
}

const Claim* JobDirectory::Find(const std::string& job) const {
  const auto found = this->entries.find(job);
  return found == this->entries.end() ? nullptr : &found->second.claim;
}

std::chrono::milliseconds TakeoverPolicy::Delay(const std::string& job,
                                                const std::vector<std::string>& alive,
                                                const std::string& self) {
  const XXH64_hash_t own = RendezvousWeight(job, self);
  const auto before = std::count_if(alive.begin(), alive.end(), [&](const std::string& node) {
    return node != self && RendezvousWeight(job, node) > own;
  });
  return kFirstDelay + before * kRankDelay;
}

}  // namespace lentilhead::jobs
