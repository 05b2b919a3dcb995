#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lentilhead::standin::internal {

/// Keys of an entity in a request path.
struct EntityKeys {
  std::string partition;
  std::string key;
};

/// Decodes percent encoding. @return an empty string for invalid input.
std::string Unescape(std::string_view text);

/// Parses a path like `TABLE(PartitionKey='p',RowKey='r')`. @return no value for another path.
std::optional<EntityKeys> ReadEntityPath(std::string_view path);

/// Parses a filter like `PartitionKey eq 'p'`. @return no value for another filter.
std::optional<std::string> ReadPartitionFilter(std::string_view filter);

}  // namespace lentilhead::standin::internal
