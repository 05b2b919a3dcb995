#pragma once

#include <string>

namespace lentilhead::gateway {

/// Collects which endpoints claim that a stream has ended, by answers that do not prove it, such as
/// one that resumes the stream and contains no further event. Two endpoints must agree.
class EndClaims {
 public:
  /// What a claim adds.
  enum class Result {
    kFirst,      ///< no other endpoint has claimed the end yet
    kSame,       ///< the same endpoint has claimed it before
    kConfirmed,  ///< another endpoint has claimed it before
  };

  /// Records the claim of an endpoint. @param endpoint its id.
  [[nodiscard]] Result Add(const std::string& endpoint) {
    if (this->first.empty()) {
      this->first = endpoint;
      return Result::kFirst;
    }
    return this->first == endpoint ? Result::kSame : Result::kConfirmed;
  }

  /// Drops the claims: a further event was received.
  void Clear() { this->first.clear(); }

 private:
  std::string first;  ///< endpoint that claimed the end first
};

}  // namespace lentilhead::gateway
