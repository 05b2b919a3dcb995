#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "batch/internal/item_table.h"
#include "batch/internal/ledger_limits.h"
#include "batch/internal/ledger_write.h"
#include "batch/internal/progress_estimate.h"
#include "batch/types/end_reason.h"
#include "batch/types/item_result.h"
#include "batch/types/job_record.h"

namespace lentilhead::batch::internal {

/// What the job's row, read again, shows of a write that ended in a conflict or without a known
/// outcome. kLost: another owner has taken the job over.
enum class WriteOutcome { kWritten, kRetry, kLost, kCancelled };

/// An item that must end without an answer, and why.
struct EndingItem {
  std::uint32_t item = 0;
  EndReason reason = EndReason::kOutcomeUnknown;
};

/// State machine of the owner of one job. Tracks which endpoint owner holds which items and which
/// results wait for a commit, and determines the next write of the job's row.
///
/// One write is in flight at a time. It is repeated unchanged until its outcome is known, so that a
/// result object is never rewritten with other content.
class JobLedger {
 public:
  /// Returns the row with which an owner takes a job over.
  static JobRecord ClaimOf(const JobRecord& stored, const std::string& holder,
                           const LedgerLimits& limits);

  /// @param before row before the takeover. @param claimed row after the takeover, as stored.
  JobLedger(const JobRecord& before, JobRecord claimed, std::string etag, LedgerLimits limits,
            framework::MonotonicTime now);

  /// Processes the held items of one exchange. Items that were granted to the puller earlier and
  /// are not in `held` are queued again.
  /// @param sequence number of the exchange, which increases for each puller; older exchanges are
  /// ignored.
  /// @return attempts that the puller must drop.
  std::vector<HeldItem> OnHeld(const std::string& puller, std::uint64_t sequence,
                               const std::vector<HeldItem>& held, framework::MonotonicTime now);

  /// Grants a puller up to `max_items` items that may run concurrently with others, and up to
  /// `max_solo_items` suspected items.
  std::vector<ItemGrant> GrantItems(const std::string& puller, std::uint64_t sequence,
                                    std::size_t max_items, std::size_t max_solo_items,
                                    const ItemTable::Readable& readable);

  /// Processes the result of an attempt. It is ignored if the item already has a result.
  void OnResult(const std::string& puller, ItemResult result, framework::MonotonicTime now);

  /// Processes everything that depends on time: unconfirmed items, lost pullers and the deadline.
  void OnTime(framework::MonotonicTime now, framework::WallTime wall_now);

  /// Items that end without an answer and wait for EndItem().
  [[nodiscard]] std::vector<EndingItem> EndingItems() const;
  void EndItem(std::uint32_t item, std::string line, framework::MonotonicTime now);

  /// Stops granting items. The last write hands the job over.
  void HandOver() { this->handing_over = true; }
  [[nodiscard]] bool IsHandedOver() const { return this->handed_over; }

  /// Discards pending results and writes. Nothing is granted or written any more.
  void Cancel();

  /// Returns the next write if one is due. @see OnWritten, OnReread
  std::optional<LedgerWrite> NextWrite(framework::MonotonicTime now, framework::WallTime wall_now);

  /// Reports that the last write that NextWrite() returned is durable.
  void OnWritten(const std::string& etag);

  /// Determines the outcome of the write in flight from the row as stored now.
  WriteOutcome OnReread(const JobRecord& stored, const std::string& etag);

  [[nodiscard]] const JobRecord& Record() const { return this->record; }
  [[nodiscard]] const ItemTable& Items() const { return this->items; }
  [[nodiscard]] bool IsWriting() const { return this->writing.has_value(); }
  [[nodiscard]] std::size_t UncommittedBytes() const { return this->uncommitted_bytes; }

  /// Items that could be granted now if they were readable.
  [[nodiscard]] std::vector<std::uint32_t> Upcoming(std::size_t max_items) const;
  [[nodiscard]] std::size_t Pending() const;
  [[nodiscard]] std::size_t PendingSolo() const;

  /// Time to the deadline minus the estimated time for the remaining work.
  [[nodiscard]] std::chrono::milliseconds Laxity(framework::WallTime wall_now) const;

 private:
  struct Puller {
    std::uint64_t sequence = 0;
    framework::MonotonicTime last_seen;
  };

  /// Returns the number of declared items after a write. At most `window_items` of them have no
  /// durable result.
  static std::size_t DeclaredAfter(const JobRecord& record, const LedgerLimits& limits);

  void Requeue(std::uint32_t item);
  void OnFailure(std::uint32_t item, AttemptOutcome outcome, std::string line,
                 framework::MonotonicTime now);
  void EndFailed(std::uint32_t item, std::string line, framework::MonotonicTime now);
  void OnHolderLost(std::uint32_t item);
  void ResolveUnconfirmed();
  void EndLateItems();
  void BeginEnding(std::uint32_t item, EndReason reason);
  void End(std::uint32_t item, ResultKind kind, std::string line, framework::MonotonicTime now);
  [[nodiscard]] bool IsWriteDue(framework::MonotonicTime now) const;
  [[nodiscard]] bool IsCommitDue(framework::MonotonicTime now) const;
  [[nodiscard]] bool NeedsSolo() const;
  [[nodiscard]] bool NeedsWindow() const;
  LedgerWrite BuildWrite(framework::WallTime wall_now) const;

  LedgerLimits limits;
  JobRecord record;  ///< As stored, except `item_failures`, which the next write stores.
  std::string etag;
  ItemTable items;
  bool after_handover;  ///< The previous owner handed the job over.
  bool unconfirmed_resolved = false;
  framework::MonotonicTime claimed_at;
  std::map<std::string, Puller> pullers;
  std::map<std::uint32_t, EndReason> ending_reasons;
  std::vector<EndedItem> uncommitted;
  std::size_t uncommitted_bytes = 0;
  framework::MonotonicTime oldest_uncommitted;
  std::optional<LedgerWrite> writing;
  ProgressEstimate estimate;
  bool at_risk = false;
  bool late = false;
  bool handing_over = false;
  bool handed_over = false;
  bool cancelled = false;
};

}  // namespace lentilhead::batch::internal
