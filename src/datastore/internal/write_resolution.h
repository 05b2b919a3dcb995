#pragma once

#include <chrono>

#include "datastore/internal/write_stamp.h"
#include "datastore/internal/write_step.h"
#include "framework/backoff.h"
#include "framework/types/time_types.h"

namespace lentilhead::datastore::internal {

/// Decides how one conditional write is sent, retried and resolved. Reads no clock and no socket.
class WriteResolution {
 public:
  /// @param row row to store; its value is stamped.
  /// @param stamp identity of this write; `base` is set from the row's etag.
  /// @param patience how long retries go on after the first attempt was due.
  WriteResolution(TableRow row, WriteStamp stamp, framework::MonotonicTime now,
                  std::chrono::milliseconds patience);

  /// Row as it is to be sent.
  [[nodiscard]] const TableRow& Row() const { return this->row; }

  /// First step.
  [[nodiscard]] WriteStep Begin() const { return SendWrite{}; }

  /// The budget has no write for this class. @param available_in time until it may have.
  WriteStep OnBudgetRefused(framework::MonotonicTime now, std::chrono::nanoseconds available_in);

  /// The write was answered or failed.
  WriteStep OnWritten(const framework::Reply<TableRow, TableError>& reply,
                      framework::MonotonicTime now);

  /// The row was read back, or the read failed.
  WriteStep OnRead(const framework::Reply<TableRow, TableError>& reply,
                   framework::MonotonicTime now);

  /// The delay of a WaitThen has passed.
  [[nodiscard]] WriteStep OnWaited() const;

  /// True if an attempt may have been applied without an answer.
  [[nodiscard]] bool IsInDoubt() const { return this->in_doubt; }

 private:
  enum class Phase { kWriting, kReading };

  WriteStep Retry(Phase next, TableErrorKind reason, framework::MonotonicTime now);
  WriteStep Judge(const TableRow& found, framework::MonotonicTime now);
  WriteStep JudgeMissing(framework::MonotonicTime now);
  [[nodiscard]] WriteStep Fail(TableErrorKind kind, std::string detail) const;
  [[nodiscard]] WriteStep FailUnlessInDoubt(TableErrorKind kind, std::string detail) const;

  TableRow row;
  WriteStamp stamp;
  framework::MonotonicTime deadline;
  framework::Backoff backoff;
  Phase phase = Phase::kWriting;
  bool in_doubt = false;
  bool refused_by_condition = false;
};

}  // namespace lentilhead::datastore::internal
