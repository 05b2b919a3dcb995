#include "standin/platform/internal/table_path.h"

#include <glib.h>

namespace lentilhead::standin::internal {

namespace {

/// Removes a literal from the start of a text. @return false if the text does not start with it.
bool ConsumePrefix(std::string_view& text, std::string_view literal) {
  if (!text.starts_with(literal)) {
    return false;
  }
  text.remove_prefix(literal.size());
  return true;
}

/// Removes an OData string from the start of a text; quotes in such a string are doubled.
/// @return the string, or no value if the text does not start with one.
std::optional<std::string> ConsumeString(std::string_view& text) {
  if (!ConsumePrefix(text, "'")) {
    return std::nullopt;
  }
  std::string value;
  while (!text.empty()) {
    if (ConsumePrefix(text, "''")) {
      value.push_back('\'');
    } else if (ConsumePrefix(text, "'")) {
      return value;
    } else {
      value.push_back(text.front());
      text.remove_prefix(1);
    }
  }
  return std::nullopt;
}

}  // namespace

std::string Unescape(std::string_view text) {
  char* plain = g_uri_unescape_segment(text.data(), text.data() + text.size(), nullptr);
  if (plain == nullptr) {
    return {};
  }
  std::string result(plain);
  g_free(plain);
  return result;
}

std::optional<EntityKeys> ReadEntityPath(std::string_view path) {
  const std::size_t open = path.find('(');
  if (open == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string plain = Unescape(path.substr(open));
  std::string_view rest = plain;
  if (!ConsumePrefix(rest, "(PartitionKey=")) {
    return std::nullopt;
  }
  const auto partition = ConsumeString(rest);
  if (!partition || !ConsumePrefix(rest, ",RowKey=")) {
    return std::nullopt;
  }
  const auto key = ConsumeString(rest);
  if (!key || rest != ")") {
    return std::nullopt;
  }
  return EntityKeys{*partition, *key};
}

std::optional<std::string> ReadPartitionFilter(std::string_view filter) {
  if (!ConsumePrefix(filter, "PartitionKey eq ")) {
    return std::nullopt;
  }
  const auto partition = ConsumeString(filter);
  return filter.empty() ? partition : std::nullopt;
}

}  // namespace lentilhead::standin::internal
