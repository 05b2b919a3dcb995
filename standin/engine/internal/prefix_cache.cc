#include "standin/engine/prefix_cache.h"

#include <utility>

namespace lentilhead::standin {

bool PrefixCache::Touch(std::uint64_t prefix) {
  if (this->capacity == 0) {
    return false;
  }
  const auto found = this->positions.find(prefix);
  if (found != this->positions.end()) {
    this->recent.splice(this->recent.begin(), this->recent, found->second);
    return true;
  }
  if (this->positions.size() == this->capacity) {
    this->changes.push_back({this->recent.back(), false});
    this->positions.erase(this->recent.back());
    this->recent.pop_back();
  }
  this->recent.push_front(prefix);
  this->positions[prefix] = this->recent.begin();
  this->changes.push_back({prefix, true});
  return false;
}

std::vector<CacheChange> PrefixCache::TakeChanges() { return std::exchange(this->changes, {}); }

bool PrefixCache::Contains(std::uint64_t prefix) const { return this->positions.contains(prefix); }

void PrefixCache::Clear() {
  this->recent.clear();
  this->positions.clear();
}

}  // namespace lentilhead::standin
