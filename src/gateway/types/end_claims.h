#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace lentilhead::gateway {

/// Collects which endpoints claim that a stream has ended, by answers that do not prove it: one
/// that resumes the stream and contains no further event, or one without framing, which ends with
/// its connection. Two endpoints must agree.
class EndClaims {
 public:
  /// What a claim adds.
  enum class Result {
    kFirst,      ///< no other endpoint has claimed the end yet
    kSame,       ///< the same endpoint has claimed it before
    kConfirmed,  ///< only other endpoints have claimed it before
  };

  /// Records the claim of an endpoint. @param endpoint its id.
  [[nodiscard]] Result Add(const std::string& endpoint) {
    if (this->HasClaimed(endpoint)) {
      return Result::kSame;
    }
    this->endpoints.push_back(endpoint);
    return this->endpoints.size() == 1 ? Result::kFirst : Result::kConfirmed;
  }

  /// Records the claim of an endpoint that sent the last event without framing.
  [[nodiscard]] Result AddWithoutFraming(const std::string& endpoint) {
    this->is_without_framing = true;
    return this->Add(endpoint);
  }

  /// Whether the endpoint that sent the last event claims that it is the last one. An empty answer
  /// without framing, which else may have lost its events, then claims the same.
  [[nodiscard]] bool IsClaimedWithoutFraming() const { return this->is_without_framing; }

  /// Ids of the endpoints that claim the end.
  [[nodiscard]] const std::vector<std::string>& Endpoints() const { return this->endpoints; }

  [[nodiscard]] bool HasClaimed(const std::string& endpoint) const {
    return std::find(this->endpoints.begin(), this->endpoints.end(), endpoint) !=
           this->endpoints.end();
  }

  /// Records an attempt that neither confirmed the claims nor contradicted them.
  void RecordNoAnswer() { this->unanswered += this->endpoints.empty() ? 0 : 1; }

  /// Number of such attempts since the first claim.
  [[nodiscard]] int Unanswered() const { return this->unanswered; }

  /// Drops the claims: a further event was received.
  void Clear() {
    this->endpoints.clear();
    this->is_without_framing = false;
    this->unanswered = 0;
  }

 private:
  std::vector<std::string> endpoints;  ///< that claim the end, in the order of their claims
  bool is_without_framing = false;
  int unanswered = 0;
};

}  // namespace lentilhead::gateway
