#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "framework/http_call.h"

namespace lentilhead::fleet::internal {

/// Owns the handle of each call until the call has ended. The destructor cancels the calls in
/// flight.
class PendingCalls {
 public:
  /// Starts a call. @param start gets the function to call when the call has ended, and returns the
  /// handle of the call.
  void Start(const std::function<framework::HttpCall(std::function<void()> end)>& start) {
    const std::uint64_t id = this->next_id++;
    this->calls.emplace(id, start([this, id] { this->calls.erase(id); }));
  }

 private:
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, framework::HttpCall> calls;
};

}  // namespace lentilhead::fleet::internal
