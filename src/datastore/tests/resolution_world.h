#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "datastore/internal/write_resolution.h"
#include "standin/platform/memory_table.h"

namespace lentilhead::datastore {

/// Writers that race on a few rows of a table over a network that delays, loses and refuses.
///
/// Each step delivers one pending event. Breaking an invariant ends in `Violation()`.
class ResolutionWorld {
 public:
  explicit ResolutionWorld(std::uint64_t seed) : random(seed) {}

  void Step();

  /// Text of the first broken invariant; empty if none was broken.
  [[nodiscard]] const std::string& Violation() const { return this->violation; }

  /// Number of writes that ended with a result.
  [[nodiscard]] int Ended(const std::string& result) const {
    const auto found = this->ends.find(result);
    return found == this->ends.end() ? 0 : found->second;
  }

 private:
  struct Operation {
    internal::WriteResolution resolution;
    std::uint64_t id;
    int awaited = 0;
  };

  enum class EventKind { kReachTable, kReachTableUnanswered, kReadTable, kAnswer, kWaited };

  struct Event {
    EventKind kind;
    std::uint64_t operation;
    int attempt = 0;
    std::optional<framework::Reply<TableRow, TableError>> reply;
    bool answers_read = false;
    TableRow row;
  };

  bool Chance(int percent) { return static_cast<int>(this->random() % 100) < percent; }

  void Begin();
  void DeleteRow();
  void Handle(Event event);
  void Apply(Event& event);
  void ReadBack(Event& event);
  void Answer(const Event& event);
  void Follow(Operation& operation, const internal::WriteStep& step);
  void Send(Operation& operation);
  void Finish(const Operation& operation, const internal::FinishWrite& end);
  framework::Reply<TableRow, TableError> WriteTo(const TableRow& row);
  framework::Reply<TableRow, TableError> ReadFrom(const std::string& key);
  [[nodiscard]] bool HasInsertInFlight(const std::string& key) const;

  std::mt19937_64 random;
  framework::MonotonicTime now{std::chrono::hours(1)};
  standin::MemoryTable table;
  bool down = false;
  std::uint64_t last_operation = 0;
  std::map<std::uint64_t, Operation> operations;
  std::vector<Event> events;
  std::map<std::uint64_t, int> applied;
  std::set<std::uint64_t> refused;
  std::map<std::string, int> ends;
  std::string violation;
};

}  // namespace lentilhead::datastore
