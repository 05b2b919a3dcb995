#include "fleet/internal/update_queue.h"

#include <algorithm>

namespace lentilhead::fleet::internal {

void UpdateQueue::Push(const std::string& name) { this->sent[name] = 0; }

std::vector<std::string> UpdateQueue::Take(std::size_t limit, int transmissions) {
  std::vector<std::pair<int, std::string>> candidates;
  candidates.reserve(this->sent.size());
  for (const auto& [name, count] : this->sent) {
    candidates.emplace_back(count, name);
  }
  const std::size_t taken = std::min(limit, candidates.size());
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(taken),
                    candidates.end());
  std::vector<std::string> names;
  for (std::size_t index = 0; index < taken; ++index) {
    const std::string& name = candidates[index].second;
    names.push_back(name);
    if (++this->sent[name] >= transmissions) {
      this->sent.erase(name);
    }
  }
  return names;
}

}  // namespace lentilhead::fleet::internal
