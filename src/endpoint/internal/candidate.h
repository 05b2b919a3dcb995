#pragma once

#include <string>

namespace lentilhead::endpoint::internal {

/// One of the endpoints that a routing policy chooses from.
struct Candidate {
  const std::string* name = nullptr;
  int slots = 1;
  int requests = 0;               ///< Estimated requests at the endpoint.
  int reported_requests = 0;      ///< In the last report; 0 without a report.
  double first_byte_seconds = 0;  ///< Moving average; 0 if not measured.
  double round_position = 0;      ///< Requests per slot sent so far; the lowest is next.

  /// Estimated requests per slot after one more request is sent.
  [[nodiscard]] double LoadWithOneMore() const {
    return static_cast<double>(this->requests + 1) / this->slots;
  }
};

}  // namespace lentilhead::endpoint::internal
