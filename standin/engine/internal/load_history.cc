#include "standin/engine/internal/load_history.h"

#include <utility>

namespace lentilhead::standin {

namespace {

constexpr std::chrono::milliseconds kResolution{1};

}  // namespace

void LoadHistory::Add(LoadSnapshot snapshot, framework::MonotonicTime now) {
  const bool merges = this->entries.size() > 1 && now - this->entries.back().time < kResolution;
  if (merges) {
    this->entries.back().snapshot = std::move(snapshot);
  } else {
    this->entries.push_back({now, std::move(snapshot)});
  }
  this->Trim(now);
}

LoadSnapshot LoadHistory::ReportAt(framework::MonotonicTime now) {
  this->Trim(now);
  return this->entries.empty() ? LoadSnapshot{} : this->entries.front().snapshot;
}

void LoadHistory::Trim(framework::MonotonicTime now) {
  while (this->entries.size() > 1 && this->entries[1].time + this->lag <= now) {
    this->entries.pop_front();
  }
}

}  // namespace lentilhead::standin
