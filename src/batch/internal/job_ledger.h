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

/// What a read of the job's row says about a write whose end was a conflict or unknown.
enum class WriteOutcome { kWritten, kRetry, kLost, kCancelled };

/// An item that must end without an answer, and why.
struct EndingItem {
  std::uint32_t item = 0;
  EndReason reason = EndReason::kOutcomeUnknown;
};

/// The owner's state machine of one job: which items are handed out to whom, which results wait for
/// a commit, and what the next write of the job's row is.
///
/// One write is in flight at a time and is repeated unchanged until its outcome is known, so a
/// result object is never rewritten with other content.
class JobLedger {
 public:
  /// Row with which an owner takes a job over.
  static JobRecord ClaimOf(const JobRecord& stored, const std::string& holder,
                           const LedgerLimits& limits);

  /// @param before row before the take-over. @param claimed row of the take-over, as stored.
  JobLedger(const JobRecord& before, JobRecord claimed, std::string etag, LedgerLimits limits,
            framework::MonotonicTime now);

  /// Takes one exchange of an endpoint owner: it holds just `held` of what it was given earlier.
  /// @param sequence number of the exchange, rising for each puller; older ones are ignored.
  /// @return attempts that the puller must drop.
  std::vector<HeldItem> OnHeld(const std::string& puller, std::uint64_t sequence,
                               const std::vector<HeldItem>& held, framework::MonotonicTime now);

  /// Hands out up to `most` items, and up to `most_solo` suspects, to a puller.
  std::vector<ItemGrant> GrantItems(const std::string& puller, std::uint64_t sequence,
                                    std::size_t max_items, std::size_t max_solo_items,
                                    const ItemTable::Readable& readable);

  /// Takes the end of an attempt. Results of items that have one already are dropped.
  void OnResult(const std::string& puller, ItemResult result, framework::MonotonicTime now);

  /// Moves on what depends on time: settling, silent pullers, deadline.
  void OnTime(framework::MonotonicTime now, framework::WallTime wall_now);

  /// Items that wait for EndItem().
  [[nodiscard]] std::vector<EndingItem> EndingItems() const;
  void EndItem(std::uint32_t item, std::string line, framework::MonotonicTime now);

  /// Stops handing out and hands the lease back with the last write.
  void HandOver() { this->handing_over = true; }
  [[nodiscard]] bool IsHandedOver() const { return this->handed_over; }

  /// Forgets everything after a cancel; nothing is handed out or written any more.
  void Cancel();

  /// Returns the next write if one is due. @see OnWritten, OnReread
  std::optional<LedgerWrite> NextWrite(framework::MonotonicTime now, framework::WallTime wall_now);

  /// The write returned last is durable.
  void OnWritten(const std::string& etag);

  /// Tells what became of the write in flight from the row as it stands now.
  WriteOutcome OnReread(const JobRecord& stored, const std::string& etag);

  [[nodiscard]] const JobRecord& Record() const { return this->record; }
  [[nodiscard]] const ItemTable& Items() const { return this->items; }
  [[nodiscard]] bool IsWriting() const { return this->writing.has_value(); }
  [[nodiscard]] std::size_t UncommittedBytes() const { return this->uncommitted_bytes; }

  /// Items that could be handed out now, if they were readable.
  [[nodiscard]] std::vector<std::uint32_t> Upcoming(std::size_t max_items) const;
  [[nodiscard]] std::size_t Pending() const;
  [[nodiscard]] std::size_t PendingSolo() const;

  /// Time left to the deadline after the remaining work at the present rate.
  [[nodiscard]] std::chrono::milliseconds Laxity(framework::WallTime wall_now) const;

 private:
  struct Puller {
    std::uint64_t sequence = 0;
    framework::MonotonicTime last_seen;
  };

  /// Items declared after a write: at most a window of them has no durable result.
  static std::size_t DeclaredAfter(const JobRecord& record, const LedgerLimits& limits);

  void Requeue(std::uint32_t item);
  void OnFailure(std::uint32_t item, AttemptOutcome outcome, std::string line,
                 framework::MonotonicTime now);
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
  JobRecord record;  ///< As durable, but for `troubles`, which the next write brings.
  std::string etag;
  ItemTable items;
  bool after_handover;  ///< The owner before handed the job back.
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
