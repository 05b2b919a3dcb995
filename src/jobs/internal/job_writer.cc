#include <algorithm>

#include "jobs/internal/job_rows.h"
#include "jobs/job_service.h"
#include "net/log_line.h"
#include "net/spawn.h"

namespace lentilhead::jobs {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

// Keep a transaction below the store's limits of 1 MB of text and 100 rows; a result may take
// several rows.
constexpr std::size_t kMaxCommitBytes = 500 << 10;
constexpr std::size_t kMaxCommitResults = 40;
constexpr milliseconds kCommitTimeout{4000};
// A node that is lost loses about this much progress of its items.
constexpr milliseconds kProgressSavePeriod{1500};
constexpr milliseconds kSaveTimeout{1000};
constexpr milliseconds kCommitRetryDelay{300};  // after a write that was not confirmed
constexpr milliseconds kHandOverTimeout{5000};  // shorter than the grace period of a stop
constexpr milliseconds kWritePollPeriod{20};

/// Progress of an item as it is being saved.
struct SavedItem {
  std::size_t item = 0;
  std::optional<std::int64_t> last_event;
  int failures = 0;
};

}  // namespace

awaitable<void> JobService::CommitResults(Job job) {
  while (job->items.HasUncommitted() && !job->is_dropped) {
    const std::vector<ItemResult> results =
        job->items.NextResultsToCommit(kMaxCommitBytes, kMaxCommitResults);
    const bool is_last = job->items.IsCompleteAfter(results.size());
    const Claim claim = job->claim;
    const AppendOptions options{is_last, this->TokenLimitOf(claim) > 0,
                                job->items.WaitingTokensAfter(results.size())};
    ClaimOutcome outcome = co_await this->store.AppendResults(
        claim, job->items.NextPosition(), results, options, net::Now() + kCommitTimeout);
    const auto* current = std::get_if<Claim>(&outcome);
    if (job->is_dropped) {
      break;
    }
    const auto* error = std::get_if<rowstore::StoreError>(&outcome);
    if (error != nullptr && *error == rowstore::StoreError::kRejected) {
      this->Drop(job, "diverged");
      break;
    }
    if (current == nullptr) {
      net::LogLine("results_not_written")
          .With("job", claim.job)
          .With("position", job->items.NextPosition())
          .With("claim", claim.version);
      net::asio::steady_timer timer(this->gateway.executor, kCommitRetryDelay);
      co_await timer.async_wait(net::kAwaitWithError);
      continue;
    }
    const bool is_own = current->owner == claim.owner && current->state != JobState::kEnded;
    if (!is_own) {
      this->directory.Put(*current);
      this->Drop(job, "fenced");
      break;
    }
    job->claim = *current;
    this->UpdateClaim(*current);
    job->items.NoteCommitted(results.size());
    this->gateway.metrics.GetCounter("job_results_total").Add(results.size());
    net::LogLine("results_listed", net::LogImportance::kRoutine)
        .With("job", claim.job)
        .With("listed", job->items.NextPosition())
        .With("items", job->items.Size())
        .With("claim", claim.version);
    if (is_last) {
      this->Drop(job, "done");
    }
  }
  job->is_committing = false;
}

void JobService::SaveProgressIfDue(const Job& job, net::SteadyTime now) {
  if (job->is_saving_progress || job->is_dropped || job->is_handing_over ||
      now - job->last_saved < kProgressSavePeriod || job->items.Unsaved().empty()) {
    return;
  }
  job->is_saving_progress = true;
  job->last_saved = now;
  net::Spawn(this->gateway.executor, "save_progress", this->SaveProgress(job));
}

awaitable<void> JobService::SaveProgress(Job job) {
  std::vector<rowstore::WrittenRow> rows;
  std::vector<SavedItem> saved_items;
  std::size_t bytes = 0;
  for (const std::size_t item : job->items.Unsaved()) {
    const ItemProgress& progress = job->items.Progress(item);
    bytes += progress.output.size();
    if (bytes > kMaxCommitBytes || rows.size() >= kMaxCommitResults) {
      break;
    }
    rows.push_back(internal::ProgressRow(job->claim.job, item, progress));
    saved_items.push_back({item, progress.last_event, progress.failures});
  }
  const bool saved =
      co_await this->store.SaveProgress(job->claim, std::move(rows), net::Now() + kSaveTimeout);
  if (saved) {
    for (const SavedItem& item : saved_items) {
      job->items.NoteSaved(item.item, item.last_event, item.failures);
    }
  } else {
    net::LogLine("progress_not_saved", net::LogImportance::kRoutine)
        .With("job", job->claim.job)
        .With("items", saved_items.size())
        .With("claim", job->claim.version);
  }
  job->is_saving_progress = false;
}

awaitable<void> JobService::HandOverJob(Job job) {
  job->is_handing_over = true;
  const auto attempts = job->attempts;
  for (const auto& attempt : attempts) {
    attempt->cancel.Cancel();
  }
  const net::SteadyTime deadline = net::Now() + kHandOverTimeout;
  while (job->is_committing && net::Now() < deadline) {
    net::asio::steady_timer timer(this->gateway.executor, kWritePollPeriod);
    co_await timer.async_wait(net::kAwaitWithError);
  }
  if (job->is_dropped) {
    co_return;
  }
  std::vector<rowstore::WrittenRow> progress;
  std::size_t bytes = 0;
  for (const std::size_t item : job->items.StartedItems()) {
    bytes += job->items.Progress(item).output.size();
    if (bytes < kMaxCommitBytes) {
      progress.push_back(internal::ProgressRow(job->claim.job, item, job->items.Progress(item)));
    }
  }
  Claim claim = job->claim;
  claim.owner.clear();
  ClaimOutcome outcome = co_await this->store.ReplaceClaim(claim, std::move(progress), deadline);
  net::LogLine("job_handed_over")
      .With("job", claim.job)
      .With("listed", job->items.NextPosition())
      .With("written", std::holds_alternative<Claim>(outcome));
  this->Drop(job, "handed_over");
}

awaitable<void> JobService::GiveBack(Claim claim) {
  claim.owner.clear();
  ClaimOutcome outcome =
      co_await this->store.ReplaceClaim(claim, {}, net::Now() + kHandOverTimeout);
  const auto* current = std::get_if<Claim>(&outcome);
  if (current != nullptr) {
    this->UpdateClaim(*current);
  }
  net::LogLine("job_given_back")
      .With("job", claim.job)
      .With("written", current != nullptr && current->owner.empty());
}

void JobService::HandOver() {
  const std::map<std::string, Job> jobs = this->owned;
  for (const auto& [id, job] : jobs) {
    net::Spawn(this->gateway.executor, "hand_over_job", this->HandOverJob(job));
  }
}

}  // namespace lentilhead::jobs
