#include "standin/engine/internal/cache_event_log.h"

#include <nlohmann/json.hpp>

#include "standin/engine/internal/prefix_key.h"

namespace lentilhead::standin {

namespace {

/// Every 7th event is lost, so that readers have to handle gaps.
constexpr std::uint64_t kLostEventInterval = 7;
constexpr std::size_t kMaxEntries = 1024;

}  // namespace

void CacheEventLog::Add(const CacheChange& change, framework::MonotonicTime now) {
  this->last_sequence += 1;
  if (this->last_sequence % kLostEventInterval == 0) {
    return;
  }
  this->entries.push_back({this->last_sequence, now, change});
  if (this->entries.size() > kMaxEntries) {
    this->entries.pop_front();
  }
}

std::string CacheEventLog::RenderAfter(std::uint64_t sequence, framework::MonotonicTime now) const {
  nlohmann::json events = nlohmann::json::array();
  for (const Entry& entry : this->entries) {
    if (entry.sequence > sequence && entry.time + this->lag <= now) {
      events.push_back({{"sequence", entry.sequence},
                        {"type", entry.change.stored ? "stored" : "evicted"},
                        {"prefix", PrefixKeyOf(entry.change.prefix)}});
    }
  }
  return nlohmann::json{{"events", events}}.dump();
}

}  // namespace lentilhead::standin
