#include "standin/platform/memory_table.h"

#include <utility>

namespace lentilhead::standin {

namespace {

std::string EtagOf(std::uint64_t version) {
  return std::string("W/\"").append(std::to_string(version)).append("\"");
}

bool EtagMatches(const std::string& etag, std::uint64_t version) {
  return etag == "*" || etag == EtagOf(version);
}

}  // namespace

TableResult MemoryTable::Insert(const std::string& partition, const std::string& key,
                                std::string value) {
  const auto [position, inserted] =
      this->entities.try_emplace(Key{partition, key}, Stored{0, std::move(value)});
  if (!inserted) {
    return {TableStatus::kExists, ""};
  }
  position->second.version = ++this->last_version;
  return {TableStatus::kDone, EtagOf(this->last_version)};
}

TableResult MemoryTable::Replace(const std::string& partition, const std::string& key,
                                 const std::string& etag, std::string value) {
  const auto found = this->entities.find(Key{partition, key});
  if (found == this->entities.end()) {
    return {TableStatus::kNotFound, ""};
  }
  if (!EtagMatches(etag, found->second.version)) {
    return {TableStatus::kEtagMismatch, ""};
  }
  found->second = {++this->last_version, std::move(value)};
  return {TableStatus::kDone, EtagOf(this->last_version)};
}

TableResult MemoryTable::Delete(const std::string& partition, const std::string& key,
                                const std::string& etag) {
  const auto found = this->entities.find(Key{partition, key});
  if (found == this->entities.end()) {
    return {TableStatus::kNotFound, ""};
  }
  if (!EtagMatches(etag, found->second.version)) {
    return {TableStatus::kEtagMismatch, ""};
  }
  this->entities.erase(found);
  return {};
}

std::optional<TableEntity> MemoryTable::Get(const std::string& partition,
                                            const std::string& key) const {
  const auto found = this->entities.find(Key{partition, key});
  if (found == this->entities.end()) {
    return std::nullopt;
  }
  return TableEntity{partition, key, EtagOf(found->second.version), found->second.value};
}

std::vector<TableEntity> MemoryTable::Query(const std::string& partition,
                                            const std::string& first_key, std::size_t limit) const {
  std::vector<TableEntity> page;
  auto position = this->entities.lower_bound(Key{partition, first_key});
  while (position != this->entities.end() && position->first.first == partition &&
         page.size() < limit) {
    const auto& [key, stored] = *position;
    page.push_back({key.first, key.second, EtagOf(stored.version), stored.value});
    ++position;
  }
  return page;
}

}  // namespace lentilhead::standin
