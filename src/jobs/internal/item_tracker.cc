#include "jobs/item_tracker.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace lentilhead::jobs {

ItemTracker::ItemTracker(JobSpec spec, const std::vector<ItemResult>& committed)
    : spec(std::move(spec)), progress(this->spec.items.size()), committed_count(committed.size()) {
  std::unordered_set<std::string> ended;
  for (const ItemResult& result : committed) {
    ended.insert(result.id);
  }
  for (std::size_t item = 0; item < this->spec.items.size(); ++item) {
    if (ended.contains(this->spec.items[item].id)) {
      this->progress[item].phase = ItemPhase::kEnded;
    } else {
      this->waiting_tokens += this->spec.items[item].tokens;
    }
  }
}

void ItemTracker::Restore(std::size_t item, ItemProgress progress) {
  if (item < this->progress.size() && this->progress[item].phase == ItemPhase::kWaiting) {
    this->progress[item] = std::move(progress);
  }
}

std::size_t ItemTracker::WaitingItems() const {
  return static_cast<std::size_t>(
      std::count_if(this->progress.begin(), this->progress.end(),
                    [](const ItemProgress& item) { return item.phase == ItemPhase::kWaiting; }));
}

std::optional<std::size_t> ItemTracker::NextItem(net::SteadyTime now, std::size_t first) const {
  for (std::size_t item = first; item < this->progress.size(); ++item) {
    if (this->progress[item].phase == ItemPhase::kWaiting &&
        now >= this->progress[item].not_before) {
      return item;
    }
  }
  return std::nullopt;
}

void ItemTracker::End(std::size_t item, ItemOutcome outcome) {
  ItemProgress& state = this->progress[item];
  if (state.phase == ItemPhase::kEnded) {
    return;
  }
  state.phase = ItemPhase::kEnded;
  std::string output = std::exchange(state.output, std::string());
  if (outcome == ItemOutcome::kGivenUp) {
    output.clear();
  }
  const ItemSpec& ended = this->spec.items[item];
  this->uncommitted.push_back({{ended.id, outcome, std::move(output)}, ended.tokens});
}

void ItemTracker::GiveUpRest() {
  for (std::size_t item = 0; item < this->progress.size(); ++item) {
    this->End(item, ItemOutcome::kGivenUp);
  }
}

std::vector<ItemResult> ItemTracker::NextResultsToCommit(std::size_t max_bytes,
                                                         std::size_t max_results) const {
  std::vector<ItemResult> results;
  std::size_t bytes = 0;
  for (const auto& [result, tokens] : this->uncommitted) {
    bytes += result.output.size();
    if (results.size() >= max_results || (!results.empty() && bytes > max_bytes)) {
      break;
    }
    results.push_back(result);
  }
  return results;
}

std::int64_t ItemTracker::WaitingTokensAfter(std::size_t count) const {
  std::int64_t tokens = this->waiting_tokens;
  for (std::size_t index = 0; index < std::min(count, this->uncommitted.size()); ++index) {
    tokens -= this->uncommitted[index].tokens;
  }
  return tokens;
}

void ItemTracker::NoteCommitted(std::size_t count) {
  this->waiting_tokens = this->WaitingTokensAfter(count);
  this->uncommitted.erase(this->uncommitted.begin(),
                          this->uncommitted.begin() + static_cast<std::ptrdiff_t>(count));
  this->committed_count += count;
}

std::vector<std::size_t> ItemTracker::StartedItems() const {
  std::vector<std::size_t> started_items;
  for (std::size_t item = 0; item < this->progress.size(); ++item) {
    const ItemProgress& state = this->progress[item];
    const bool started = state.last_event.has_value() || state.failures > 0;
    if (state.phase != ItemPhase::kEnded && started) {
      started_items.push_back(item);
    }
  }
  return started_items;
}

std::vector<std::size_t> ItemTracker::Unsaved() const {
  std::vector<std::size_t> unsaved = this->StartedItems();
  std::erase_if(unsaved, [this](std::size_t item) {
    const ItemProgress& state = this->progress[item];
    return state.last_event == state.saved_event && state.failures == state.saved_failures;
  });
  return unsaved;
}

void ItemTracker::NoteSaved(std::size_t item, std::optional<std::int64_t> last_event,
                            int failures) {
  this->progress[item].saved_event = last_event;
  this->progress[item].saved_failures = failures;
}

}  // namespace lentilhead::jobs
