#pragma once

#include <string>

namespace lentilhead::datastore::internal {

/// Replaces the characters that table keys must not contain (`/`, `\`, `#`, `?`, `%`, control
/// characters) and `~` by `~` and two hexadecimal digits.
std::string EncodeKey(const std::string& key);

/// Undoes EncodeKey().
std::string DecodeKey(const std::string& encoded);

}  // namespace lentilhead::datastore::internal
