#pragma once

#include <string>

namespace lentilhead::datastore {

enum class ObjectErrorKind { kNotFound, kThrottled, kUnavailable, kOutcomeUnknown, kInvalidAnswer };

/// Failure of a call to the object store.
struct ObjectError {
  ObjectErrorKind kind;
  std::string detail;
};

/// Name of a kind in snake_case, for logs and counters.
const char* NameOf(ObjectErrorKind kind);

}  // namespace lentilhead::datastore
