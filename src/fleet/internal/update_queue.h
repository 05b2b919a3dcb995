#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lentilhead::fleet::internal {

/// Queue of the names of instances whose changes are still to be sent, least often sent first.
class UpdateQueue {
 public:
  /// Adds a change, which replaces an older change of the same instance.
  void Push(const std::string& name);

  /// Returns the names for one message and counts them as sent.
  /// @param limit maximum number of names in the message.
  /// @param transmissions number of times that a change is sent before it is removed from the
  /// queue.
  std::vector<std::string> Take(std::size_t limit, int transmissions);

  [[nodiscard]] bool IsEmpty() const { return this->sent.empty(); }

 private:
  std::map<std::string, int> sent;
};

}  // namespace lentilhead::fleet::internal
