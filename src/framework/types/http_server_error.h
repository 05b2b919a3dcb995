#pragma once

#include <string>

namespace lentilhead::framework {

enum class HttpServerErrorKind { kAddressInvalid, kListenFailed, kTlsUnreadable };

/// Reason why a listener could not start.
struct HttpServerError {
  HttpServerErrorKind kind;
  std::string detail;
};

}  // namespace lentilhead::framework
