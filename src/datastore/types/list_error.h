#pragma once

#include <string>

namespace lentilhead::datastore {

enum class ListErrorKind { kUnavailable, kInvalidAnswer };

/// Failure to read the platform's list.
struct ListError {
  ListErrorKind kind;
  std::string detail;
};

}  // namespace lentilhead::datastore
