#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "datastore/table_client.h"
#include "datastore/types/write_priority.h"
#include "datastore/write_budget.h"
#include "framework/timer_service.h"

namespace lentilhead::datastore {

/// Conditional writes whose outcome is found out after a lost answer.
///
/// Each written row carries the properties `writer`, `write_sequence`, `write_base` (the etag that
/// it replaced) and `write_lineage` (the stamps of the versions before it). After an unknown
/// outcome or a conflict the row is read back before anything else: the own stamp found there or in
/// the lineage is a success, an unchanged row is written again, and a row that proves that another
/// writer replaced the same version is a conflict. What cannot be proved until the deadline is
/// reported as kOutcomeUnknown.
///
/// Callers should build `row.value` from the value that they read, so that the lineage goes on.
/// A row must not be deleted while an insert of it is being resolved.
class ResolvedWriter {
 public:
  /// @param writer identifier of this process run, unique among all instances.
  ResolvedWriter(std::string writer, TableClient& table, WriteBudget& budget,
                 framework::TimerService& timers, framework::Metrics& metrics);
  ResolvedWriter(const ResolvedWriter&) = delete;
  ResolvedWriter& operator=(const ResolvedWriter&) = delete;
  ~ResolvedWriter();

  /// Writes a row: inserts it if `row.etag` is empty, replaces the row of that etag otherwise.
  /// @param patience how long throttling, outages and unknown outcomes are retried.
  /// @param handler called once with the stored row or the error.
  void Write(TableRow row, WritePriority priority, std::chrono::milliseconds patience,
             TableClient::RowHandler handler);

  /// Timer service of the task.
  [[nodiscard]] framework::TimerService& Timers() const;

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::datastore
