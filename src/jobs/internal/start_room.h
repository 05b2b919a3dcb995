#pragma once

#include <limits>
#include <map>
#include <string>

namespace lentilhead::jobs::internal {

/// Room that the endpoints of each service have for further items, as far as one round of starts
/// has found out. Answers items that need more memory than is free: they are passed over for
/// smaller ones.
class StartRoom {
 public:
  /// Records that no further item of a service can start.
  void Close(const std::string& service) { this->memory[service] = kNone; }

  /// Records that only items with this need for memory or less can start. Closes the service if
  /// that was known before, so that a round ends.
  void Limit(const std::string& service, double tokens) {
    this->memory[service] = tokens < this->MemoryOf(service) ? tokens : kNone;
  }

  [[nodiscard]] bool IsClosed(const std::string& service) const {
    return this->MemoryOf(service) <= kNone;
  }

  /// Returns the largest need for memory of an item that can start, in tokens; infinite if the
  /// round has found no limit.
  [[nodiscard]] double MemoryOf(const std::string& service) const {
    const auto found = this->memory.find(service);
    return found == this->memory.end() ? std::numeric_limits<double>::infinity() : found->second;
  }

 private:
  static constexpr double kNone = 0;

  std::map<std::string, double> memory;
};

}  // namespace lentilhead::jobs::internal
