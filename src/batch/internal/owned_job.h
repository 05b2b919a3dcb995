#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "batch/internal/batch_parts.h"
#include "batch/internal/exchange_messages.h"
#include "batch/internal/job_ledger.h"
#include "framework/backoff.h"

namespace lentilhead::batch::internal {

/// One job that this process owns: its ledger, its loaded items, and its reads and writes in the
/// stores.
class OwnedJob : public std::enable_shared_from_this<OwnedJob> {
 public:
  /// kLost: another owner has the job, or its row is missing or unreadable.
  enum class End { kFinished, kCancelled, kLost, kHandedOver };
  using EndHandler = std::function<void(const std::string& job, End end)>;

  /// @param on_end called when this process no longer works on the job.
  /// @param on_items_available called when more items may be available to grant.
  OwnedJob(BatchParts& parts, std::unique_ptr<JobLedger> ledger, EndHandler on_end,
           std::function<void()> on_items_available);

  /// Processes everything that depends on time. Called every tick.
  void OnTick();

  /// Starts the next write. @return false if none is due or if it must wait.
  bool StartWrite();
  [[nodiscard]] bool IsWriting() const { return this->write_in_flight; }

  /// Reads the row again to detect a cancel or the outcome of a write.
  void RereadRow();

  /// Processes the part of an exchange that concerns this job.
  /// @param may_grant false if no items may be granted at present.
  void OnExchange(const ExchangeRequest& request, bool may_grant, ExchangeReply& reply);

  [[nodiscard]] JobOffer Offer() const;
  void HandOver() { this->ledger->HandOver(); }
  [[nodiscard]] const JobLedger& Ledger() const { return *this->ledger; }

 private:
  [[nodiscard]] const std::string* LineOf(std::uint32_t item) const;
  [[nodiscard]] bool IsReadable(std::uint32_t item) const { return this->LineOf(item) != nullptr; }
  void LoadSegments();
  void LoadSegment(std::size_t segment);
  void RemoveUsedSegments();
  void FinishEndings();
  void PutResults(const LedgerWrite& write);
  void WriteRow(const LedgerWrite& write);
  void OnWriteError(const datastore::TableError& error);
  void OnRow(const datastore::TableRow& row);
  void PauseWrites();
  void FinishWrite();
  void Finish(End end);

  BatchParts& parts;
  std::unique_ptr<JobLedger> ledger;
  EndHandler on_end;
  std::function<void()> on_items_available;
  std::string id;
  std::string partition;
  std::map<std::size_t, std::vector<std::string>> segments;
  std::set<std::size_t> loading;
  framework::MonotonicTime next_load;
  bool write_in_flight = false;
  bool results_stored = false;
  bool rereading = false;
  bool ended = false;
  framework::MonotonicTime next_write;
  framework::Backoff backoff;
  framework::TimerSubscription reread_timer;
};

}  // namespace lentilhead::batch::internal
