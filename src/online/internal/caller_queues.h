#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "framework/types/time_types.h"

namespace lentilhead::online::internal {

/// Queues of one service, one for each caller, served by deficit round robin.
class CallerQueues {
 public:
  struct Entry {
    std::uint64_t id = 0;
    double cost = 1;
    framework::MonotonicTime admission_deadline;  ///< Latest time of admission.
  };

  void Push(const std::string& caller, Entry entry);

  /// Removes the next request and returns its id; no value if there is none.
  /// @param quantum cost that each caller may spend in one round.
  std::optional<std::uint64_t> Pop(double quantum);

  void Remove(const std::string& caller, std::uint64_t id);

  [[nodiscard]] std::size_t Size() const { return this->size; }
  [[nodiscard]] std::size_t SizeOf(const std::string& caller) const;
  [[nodiscard]] std::size_t CallerCount() const { return this->queues.size(); }

  struct Queue {
    std::deque<Entry> entries;
    double deficit = 0;
  };
  [[nodiscard]] const std::map<std::string, Queue>& Queues() const { return this->queues; }

 private:
  void Erase(const std::string& caller);

  std::map<std::string, Queue> queues;
  std::deque<std::string> rotation;  ///< Callers with queued requests, in the order of their turns.
  std::size_t size = 0;
};

}  // namespace lentilhead::online::internal
