#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "standin/platform/types/table_entity.h"
#include "standin/platform/types/table_result.h"

namespace lentilhead::standin {

/// In-memory table of entities with etags and conditional writes.
class MemoryTable {
 public:
  /// Inserts an entity unless it exists.
  TableResult Insert(const std::string& partition, const std::string& key, std::string value);

  /// Replaces an entity if its etag matches. @param etag `*` matches any.
  TableResult Replace(const std::string& partition, const std::string& key, const std::string& etag,
                      std::string value);

  /// Deletes an entity if its etag matches. @param etag `*` matches any.
  TableResult Delete(const std::string& partition, const std::string& key, const std::string& etag);

  [[nodiscard]] std::optional<TableEntity> Get(const std::string& partition,
                                               const std::string& key) const;

  /// Returns up to `limit` entities of a partition, sorted by key, starting at `first_key`.
  [[nodiscard]] std::vector<TableEntity> Query(const std::string& partition,
                                               const std::string& first_key,
                                               std::size_t limit) const;

  [[nodiscard]] std::size_t Size() const { return this->entities.size(); }

 private:
  struct Stored {
    std::uint64_t version;
    std::string value;
  };

  using Key = std::pair<std::string, std::string>;

  std::map<Key, Stored> entities;
  std::uint64_t last_version = 0;
};

}  // namespace lentilhead::standin
