#include "online/internal/caller_queues.h"

#include <algorithm>

namespace lentilhead::online::internal {

void CallerQueues::Push(const std::string& caller, Entry entry) {
  const auto [queue, inserted] = this->queues.try_emplace(caller);
  if (inserted) {
    this->rotation.push_back(caller);
  }
  queue->second.entries.push_back(entry);
  this->size += 1;
}

std::optional<std::uint64_t> CallerQueues::Pop(double quantum) {
  while (!this->rotation.empty()) {
    const std::string caller = this->rotation.front();
    Queue& queue = this->queues.at(caller);
    const Entry entry = queue.entries.front();
    if (queue.deficit < entry.cost) {
      queue.deficit += quantum;
      this->rotation.pop_front();
      this->rotation.push_back(caller);
      continue;
    }
    queue.deficit -= entry.cost;
    queue.entries.pop_front();
    this->size -= 1;
    if (queue.entries.empty()) {
      this->Erase(caller);
    }
    return entry.id;
  }
  return std::nullopt;
}

void CallerQueues::Remove(const std::string& caller, std::uint64_t id) {
  const auto queue = this->queues.find(caller);
  if (queue == this->queues.end()) {
    return;
  }
  this->size -=
      std::erase_if(queue->second.entries, [&](const Entry& entry) { return entry.id == id; });
  if (queue->second.entries.empty()) {
    this->Erase(caller);
  }
}

std::size_t CallerQueues::SizeOf(const std::string& caller) const {
  const auto queue = this->queues.find(caller);
  return queue == this->queues.end() ? 0 : queue->second.entries.size();
}

void CallerQueues::Erase(const std::string& caller) {
  this->queues.erase(caller);
  std::erase(this->rotation, caller);
}

}  // namespace lentilhead::online::internal
