#include "standin/platform/lagging_list.h"

#include <utility>

namespace lentilhead::standin {

void LaggingList::RecordChange(const std::string& service, ListEntry entry,
                               framework::MonotonicTime now) {
  this->pending.push_back({now + this->lag, service, std::move(entry)});
}

std::vector<ListEntry> LaggingList::VisibleEntries(const std::string& service,
                                                   framework::MonotonicTime now) {
  while (!this->pending.empty() && this->pending.front().visible_at <= now) {
    PendingChange& change = this->pending.front();
    auto& list = this->visible[change.service];
    if (change.entry.state == ListState::kRemoved) {
      list.erase(change.entry.name);
    } else {
      list[change.entry.name] = std::move(change.entry);
    }
    this->pending.pop_front();
  }
  std::vector<ListEntry> entries;
  const auto found = this->visible.find(service);
  if (found == this->visible.end()) {
    return entries;
  }
  for (const auto& [name, entry] : found->second) {
    entries.push_back(entry);
  }
  return entries;
}

}  // namespace lentilhead::standin
