#pragma once

#include <string>

namespace lentilhead::online {

enum class CallerRole { kCaller, kOperator };

/// Limits of one caller at each worker of an instance.
struct CallerLimits {
  int max_in_flight = 512;            ///< `max_in_flight`, queued requests included.
  double requests_per_second = 1000;  ///< `requests_per_second`
  double burst = 1000;                ///< `burst`, requests at once above the rate.

  bool operator==(const CallerLimits&) const = default;
};

/// Settings `[[caller]]`: a caller with its key, role and limits.
struct Caller {
  std::string name;        ///< `name`
  std::string key_sha256;  ///< `key_sha256`, SHA-256 of the key in lower-case hexadecimal.
  CallerRole role = CallerRole::kCaller;  ///< `role` = "caller" | "operator"
  CallerLimits limits;

  bool operator==(const Caller&) const = default;
};

}  // namespace lentilhead::online
