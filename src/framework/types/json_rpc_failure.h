#pragma once

#include <string>

namespace lentilhead::framework {

enum class JsonRpcFailureKind {
  kNotDelivered,     ///< No byte of the call was written.
  kDeliveryUnknown,  ///< The call may have been handled.
  kRefused,          ///< The peer answered with a JSON-RPC error.
  kInvalidAnswer,
};

/// Failure of a call to another process of the system.
struct JsonRpcFailure {
  JsonRpcFailureKind kind;
  std::string detail;
};

}  // namespace lentilhead::framework
