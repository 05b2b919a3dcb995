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

/// Tracks the items of a job at its owner: waiting, running, ended, and committed to the store.
///
/// Uses neither the clock nor the store. A result's position is its place in the order of commits.
class ItemTracker {
 public:
  /// @param committed results that are committed already, in order.
  ItemTracker(JobSpec spec, const std::vector<ItemResult>& committed);

  /// Restores the progress that an item had made at an earlier owner.
  void Restore(std::size_t item, ItemProgress progress);

  /// Returns the number of items that neither run nor have ended.
  [[nodiscard]] std::size_t WaitingItems() const;

  /// Returns the next waiting item whose retry delay is over.
  /// @param first the search begins at this item.
  [[nodiscard]] std::optional<std::size_t> NextItem(net::SteadyTime now,
                                                    std::size_t first = 0) const;

  [[nodiscard]] const ItemSpec& Spec(std::size_t item) const { return this->spec.items[item]; }
  [[nodiscard]] ItemProgress& Progress(std::size_t item) { return this->progress[item]; }
  [[nodiscard]] const ItemProgress& Progress(std::size_t item) const {
    return this->progress[item];
  }
  [[nodiscard]] std::size_t Size() const { return this->spec.items.size(); }

  /// Ends an item unless it has ended, and queues its result to be committed.
  void End(std::size_t item, ItemOutcome outcome);

  /// Gives up every item that has not ended.
  void GiveUpRest();

  /// Returns the next results to commit, oldest first; at least one if any is queued.
  /// @param max_bytes limit on their total output, which a single result may exceed.
  /// @param max_results limit on their number.
  [[nodiscard]] std::vector<ItemResult> NextResultsToCommit(std::size_t max_bytes,
                                                            std::size_t max_results) const;

  /// Removes the first results from the queue once they are committed.
  void NoteCommitted(std::size_t count);

  /// Returns the tokens of the items that have no committed result once the next `count` results
  /// are committed.
  [[nodiscard]] std::int64_t WaitingTokensAfter(std::size_t count) const;

  /// Returns the position of the next result.
  [[nodiscard]] std::uint64_t NextPosition() const { return this->committed_count; }

  /// Tells whether results are queued to be committed.
  [[nodiscard]] bool HasUncommitted() const { return !this->uncommitted.empty(); }

  /// Tells whether every item is committed once the next `count` results are.
  [[nodiscard]] bool IsCompleteAfter(std::size_t count) const {
    return this->committed_count + count >= this->spec.items.size();
  }

  /// Returns the indices of the items that have progress or failures and have not ended.
  [[nodiscard]] std::vector<std::size_t> StartedItems() const;

  /// Returns the indices of the items whose progress has changed since it was last saved.
  [[nodiscard]] std::vector<std::size_t> Unsaved() const;

  /// Records that an item has been saved with this progress.
  void NoteSaved(std::size_t item, std::optional<std::int64_t> last_event, int failures);

 private:
  /// A result that is to be committed.
  struct QueuedResult {
    ItemResult result;
    std::int64_t tokens = 0;
  };

  JobSpec spec;
  std::vector<ItemProgress> progress;
  std::deque<QueuedResult> uncommitted;
  std::int64_t waiting_tokens = 0;
  std::uint64_t committed_count = 0;
};

}  // namespace lentilhead::jobs
