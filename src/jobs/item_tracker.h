#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "jobs/types/item_progress.h"
#include "jobs/types/item_result.h"
#include "jobs/types/job_spec.h"

namespace lentilhead::jobs {

/// The items of a job at its owner: what waits, runs, has ended and is listed.
///
/// Reads no clock and no store. Positions are given in the order in which results are committed.
class ItemTracker {
 public:
  /// @param listed results that are listed already, in order.
  ItemTracker(JobSpec spec, const std::vector<ItemResult>& listed);

  /// Restores how far an item had come at an earlier owner.
  void Restore(std::size_t item, ItemProgress progress);

  /// Returns the first item that waits and may be tried now.
  [[nodiscard]] std::optional<std::size_t> NextItem(net::SteadyTime now) const;

  [[nodiscard]] const ItemSpec& Spec(std::size_t item) const { return this->spec.items[item]; }
  [[nodiscard]] ItemProgress& Progress(std::size_t item) { return this->progress[item]; }
  [[nodiscard]] std::size_t Size() const { return this->spec.items.size(); }

  /// Ends an item; its result waits to be committed.
  void End(std::size_t item, ItemOutcome outcome);

  /// Ends every item that has not ended as given up.
  void GiveUpRest();

  /// Results to commit next, oldest first.
  /// @param max_bytes size at which the results is closed. @param max_results as well.
  [[nodiscard]] std::vector<ItemResult> NextResultsToCommit(std::size_t max_bytes,
                                                            std::size_t max_results) const;

  /// Takes the first results off the queue as listed.
  void NoteCommitted(std::size_t count);

  /// Position of the next result.
  [[nodiscard]] std::uint64_t NextPosition() const { return this->listed; }

  /// Whether results wait to be committed.
  [[nodiscard]] bool HasUncommitted() const { return !this->uncommitted.empty(); }

  /// Whether every item is listed once the next `count` results are committed.
  [[nodiscard]] bool IsCompleteAfter(std::size_t count) const {
    return this->listed + count >= this->spec.items.size();
  }

  /// Indices of the items that have started_items and not ended.
  [[nodiscard]] std::vector<std::size_t> StartedItems() const;

  /// Indices of the items that have come further since they were noted as saved.
  [[nodiscard]] std::vector<std::size_t> Unsaved() const;

  /// Notes that the current progress of an item is in the store.
  void NoteSaved(std::size_t item);

 private:
  JobSpec spec;
  std::vector<ItemProgress> progress;
  std::deque<ItemResult> uncommitted;
  std::uint64_t listed = 0;
};

}  // namespace lentilhead::jobs
