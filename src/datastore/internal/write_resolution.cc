#include "datastore/internal/write_resolution.h"

#include <algorithm>
#include <utility>

#include "framework/hash.h"

namespace lentilhead::datastore::internal {

using framework::MonotonicTime;
using framework::Reply;

namespace {

constexpr std::chrono::milliseconds kFirstDelay{20};
constexpr std::chrono::milliseconds kLongestDelay{2'000};

/// Etag that no stored row has, for a row that has been replaced since.
constexpr const char* kSupersededEtag = "W/\"superseded\"";

}  // namespace

WriteResolution::WriteResolution(TableRow row, WriteStamp stamp, MonotonicTime now,
                                 std::chrono::milliseconds patience)
    : row(std::move(row)),
      stamp(std::move(stamp)),
      deadline(now + patience),
      backoff(kFirstDelay, kLongestDelay,
              framework::Hash(this->stamp.writer, this->stamp.sequence)) {
  this->stamp.base = this->row.etag;
  PutStamp(this->row.value, this->stamp);
}

WriteStep WriteResolution::OnBudgetRefused(MonotonicTime now,
                                           std::chrono::nanoseconds available_in) {
  this->phase = Phase::kWriting;
  const std::chrono::nanoseconds left = this->deadline - now;
  if (left.count() <= 0 || available_in > left) {
    return this->FailUnlessInDoubt(TableErrorKind::kBudgetExhausted, "no write in the budget");
  }
  return WaitThen{std::min<std::chrono::nanoseconds>(left, available_in + this->backoff.Next())};
}

WriteStep WriteResolution::OnWritten(const Reply<TableRow, TableError>& reply, MonotonicTime now) {
  if (reply) {
    return FinishWrite{reply};
  }
  const TableError& error = reply.Error();
  switch (error.kind) {
    case TableErrorKind::kOutcomeUnknown:
      this->in_doubt = true;
      return SendRead{};
    case TableErrorKind::kConflict:
      this->refused_by_condition = true;
      return SendRead{};
    case TableErrorKind::kThrottled:
    case TableErrorKind::kUnavailable:
      return this->Retry(Phase::kWriting, error.kind, now);
    case TableErrorKind::kBudgetExhausted:
    case TableErrorKind::kInvalidAnswer:
    case TableErrorKind::kNotFound:
      break;
  }
  return this->FailUnlessInDoubt(error.kind, error.detail);
}

WriteStep WriteResolution::OnRead(const Reply<TableRow, TableError>& reply, MonotonicTime now) {
  if (reply) {
    return this->Judge(reply.Value(), now);
  }
  if (reply.Error().kind == TableErrorKind::kNotFound) {
    return this->JudgeMissing(now);
  }
  return this->Retry(Phase::kReading, reply.Error().kind, now);
}

WriteStep WriteResolution::OnWaited() const {
  if (this->phase == Phase::kReading) {
    return SendRead{};
  }
  return SendWrite{};
}

WriteStep WriteResolution::Retry(Phase next, TableErrorKind reason, MonotonicTime now) {
  this->phase = next;
  if (now < this->deadline) {
    const std::chrono::nanoseconds left = this->deadline - now;
    return WaitThen{std::min<std::chrono::nanoseconds>(left, this->backoff.Next())};
  }
  if (this->refused_by_condition && !this->in_doubt) {
    return this->Fail(TableErrorKind::kConflict, "the winner could not be read");
  }
  return this->FailUnlessInDoubt(reason, "gave up at the deadline");
}

WriteStep WriteResolution::Judge(const TableRow& found, MonotonicTime now) {
  if (found.etag == this->stamp.base) {
    return this->Retry(Phase::kWriting, TableErrorKind::kUnavailable, now);
  }
  switch (FindProof(found.value, this->stamp)) {
    case WriteProof::kApplied:
      return FinishWrite{found};
    case WriteProof::kAppliedThenOther: {
      TableRow own = this->row;
      own.etag = kSupersededEtag;
      return FinishWrite{std::move(own)};
    }
    case WriteProof::kLost:
      return this->Fail(TableErrorKind::kConflict, "another writer replaced the row");
    case WriteProof::kNone:
      break;
  }
  return this->FailUnlessInDoubt(TableErrorKind::kConflict, "the row has been replaced");
}

WriteStep WriteResolution::JudgeMissing(MonotonicTime now) {
  if (!this->stamp.base.empty()) {
    return this->FailUnlessInDoubt(TableErrorKind::kNotFound, "the row has been deleted");
  }
  if (this->refused_by_condition) {
    return this->FailUnlessInDoubt(TableErrorKind::kConflict, "the row existed and was deleted");
  }
  return this->Retry(Phase::kWriting, TableErrorKind::kUnavailable, now);
}

WriteStep WriteResolution::Fail(TableErrorKind kind, std::string detail) const {
  return FinishWrite{TableError{kind, std::move(detail)}};
}

WriteStep WriteResolution::FailUnlessInDoubt(TableErrorKind kind, std::string detail) const {
  return this->Fail(this->in_doubt ? TableErrorKind::kOutcomeUnknown : kind, std::move(detail));
}

}  // namespace lentilhead::datastore::internal
