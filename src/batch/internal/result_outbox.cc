#include "batch/internal/result_outbox.h"

#include <algorithm>
#include <utility>

namespace lentilhead::batch::internal {

void ResultOutbox::Add(const std::string& job, ItemResult result, framework::MonotonicTime now) {
  WaitingResults& entry = this->waiting[job];
  if (entry.results.empty()) {
    entry.since = now;
  }
  entry.results.push_back(std::move(result));
}

std::vector<ItemResult> ResultOutbox::First(const std::string& job, std::size_t max_results) const {
  const auto found = this->waiting.find(job);
  if (found == this->waiting.end()) {
    return {};
  }
  const auto& results = found->second.results;
  const auto count = static_cast<std::ptrdiff_t>(std::min(max_results, results.size()));
  return {results.begin(), results.begin() + count};
}

void ResultOutbox::RemoveFirst(const std::string& job, std::size_t count,
                               framework::MonotonicTime now) {
  const auto found = this->waiting.find(job);
  if (found == this->waiting.end()) {
    return;
  }
  auto& results = found->second.results;
  found->second.since = now;
  results.erase(results.begin(),
                results.begin() + static_cast<std::ptrdiff_t>(std::min(count, results.size())));
  if (results.empty()) {
    this->waiting.erase(found);
  }
}

std::size_t ResultOutbox::RemoveOlderThan(framework::MonotonicTime time) {
  std::size_t removed = 0;
  for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
    if (entry->second.since >= time) {
      ++entry;
      continue;
    }
    removed += entry->second.results.size();
    entry = this->waiting.erase(entry);
  }
  return removed;
}

std::vector<std::string> ResultOutbox::Jobs() const {
  std::vector<std::string> jobs;
  for (const auto& [job, entry] : this->waiting) {
    jobs.push_back(job);
  }
  return jobs;
}

}  // namespace lentilhead::batch::internal
