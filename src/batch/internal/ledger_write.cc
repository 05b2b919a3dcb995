#include "batch/internal/ledger_write.h"

#include "batch/internal/invariant.h"

namespace lentilhead::batch::internal {

namespace {

std::uint64_t CommitCount(const JobRecord& record) {
  std::uint64_t count = 0;
  for (const CommitRange& range : record.commits) {
    count += range.count;
  }
  return count;
}

void CountResult(JobRecord& record, ResultKind kind) {
  switch (kind) {
    case ResultKind::kSucceeded:
      record.succeeded += 1;
      return;
    case ResultKind::kFailed:
      record.failed += 1;
      return;
    case ResultKind::kUnknown:
      record.unknown += 1;
      return;
  }
}

}  // namespace

void AddResults(LedgerWrite& write) {
  if (write.ended.empty()) {
    return;
  }
  JobRecord& record = write.record;
  if (record.commits.empty() || record.commits.back().epoch != record.epoch) {
    record.commits.push_back({record.epoch, 0});
  }
  record.commits.back().count += 1;
  write.results = record.commits.back().count;
  for (const EndedItem& ended : write.ended) {
    Require(record.done.Set(ended.item), "an item is committed once");
    CountResult(record, ended.kind);
    record.item_failures.erase(ended.item);
  }
}

void RequireLegalWrite(const JobRecord& before, const LedgerWrite& write) {
  const JobRecord& after = write.record;
  Require(before.state == JobState::kOpen, "an ended job is not written");
  Require(after.epoch == before.epoch, "an owner writes in its own epoch");
  Require(after.done.Contains(before.done), "a committed result stays");
  Require(after.done.Count() == before.done.Count() + write.ended.size(),
          "each result of a commit is new");
  Require(after.succeeded + after.failed + after.unknown == after.done.Count(),
          "each committed item has one kind of result");
  Require(CommitCount(after) == CommitCount(before) + (write.ended.empty() ? 0 : 1),
          "a write commits at most one result object");
  Require(after.declared >= before.declared, "the number of declared items never decreases");
  Require(after.state != JobState::kFinished || after.done.Count() == after.items,
          "a finished job has a result for every item");
}

}  // namespace lentilhead::batch::internal
