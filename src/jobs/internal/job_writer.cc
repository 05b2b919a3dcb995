#include <algorithm>

#include "jobs/internal/job_rows.h"
#include "jobs/job_service.h"
#include "net/log_line.h"

namespace lentilhead::jobs {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

constexpr std::size_t kGroupBytes = 500 << 10;  // a transaction of the store holds 1 MB as text
constexpr std::size_t kGroupResults = 40;       // and a hundred rows
constexpr milliseconds kWriteLimit{4000};
constexpr milliseconds kSavePeriod{1500};     // what the loss of a node costs its items at most
constexpr milliseconds kSaveLimit{1000};      // the next save holds more
constexpr milliseconds kWritePause{300};      // after a write whose outcome is unknown
constexpr milliseconds kHandOverLimit{5000};  // below the grace of a stop

}  // namespace

awaitable<void> JobService::Write(Job job) {
  while (job->ledger.HasUncommitted() && !job->is_lost) {
    const std::vector<ItemResult> group = job->ledger.NextGroup(kGroupBytes, kGroupResults);
    const bool is_last = job->ledger.IsCompleteAfter(group.size());
    const Claim claim = job->claim;
    ClaimOutcome outcome = co_await this->store.Append(claim, job->ledger.NextPosition(), group,
                                                       is_last, net::Now() + kWriteLimit);
    const auto* present = std::get_if<Claim>(&outcome);
    if (job->is_lost) {
      break;
    }
    const auto* error = std::get_if<rowstore::StoreError>(&outcome);
    if (error != nullptr && *error == rowstore::StoreError::kRejected) {
      this->Drop(job, "diverged");
      break;
    }
    if (present == nullptr) {
      net::LogLine("results_not_written")
          .With("job", claim.job)
          .With("position", job->ledger.NextPosition())
          .With("claim", claim.version);
      net::asio::steady_timer timer(this->gateway.executor, kWritePause);
      co_await timer.async_wait(net::kAwaitWithError);
      continue;
    }
    const bool is_own = present->owner == claim.owner && present->state != JobState::kEnded;
    if (!is_own) {
      this->directory.Put(*present);
      this->Drop(job, "fenced");
      break;
    }
    job->claim = *present;
    job->ledger.NoteCommitted(group.size());
    this->gateway.metrics.GetCounter("job_results_total").Add(group.size());
    net::LogLine("results_listed", net::LogImportance::kRoutine)
        .With("job", claim.job)
        .With("listed", job->ledger.NextPosition())
        .With("items", job->ledger.Size())
        .With("claim", claim.version);
    if (is_last) {
      this->directory.Put(job->claim);
      this->Drop(job, "done");
    }
  }
  job->is_writing = false;
}

void JobService::SaveProgressInTurn(const Job& job, net::SteadyTime now) {
  if (job->is_saving || job->is_lost || job->handing_over || now - job->last_saved < kSavePeriod ||
      job->ledger.Unsaved().empty()) {
    return;
  }
  job->is_saving = true;
  job->last_saved = now;
  net::asio::co_spawn(this->gateway.executor, this->SaveProgress(job), net::asio::detached);
}

awaitable<void> JobService::SaveProgress(Job job) {
  std::vector<rowstore::WrittenRow> rows;
  std::size_t bytes = 0;
  for (const std::size_t item : job->ledger.Unsaved()) {
    bytes += job->ledger.Progress(item).output.size();
    if (bytes > kGroupBytes || rows.size() >= kGroupResults) {
      break;
    }
    rows.push_back(internal::ProgressRow(job->claim.job, item, job->ledger.Progress(item)));
    job->ledger.NoteSaved(item);
  }
  co_await this->store.SaveProgress(job->claim, std::move(rows), net::Now() + kSaveLimit);
  job->is_saving = false;
}

awaitable<void> JobService::HandOverJob(Job job) {
  job->handing_over = true;
  const auto runs = job->runs;
  for (const auto& run : runs) {
    run->cancel.Cancel();
  }
  const net::SteadyTime deadline = net::Now() + kHandOverLimit;
  while (job->is_writing && net::Now() < deadline) {
    net::asio::steady_timer timer(this->gateway.executor, milliseconds(20));
    co_await timer.async_wait(net::kAwaitWithError);
  }
  if (job->is_lost) {
    co_return;
  }
  std::vector<rowstore::WrittenRow> progress;
  std::size_t bytes = 0;
  for (const std::size_t item : job->ledger.Begun()) {
    bytes += job->ledger.Progress(item).output.size();
    if (bytes < kGroupBytes) {
      progress.push_back(internal::ProgressRow(job->claim.job, item, job->ledger.Progress(item)));
    }
  }
  Claim claim = job->claim;
  claim.owner.clear();
  ClaimOutcome outcome = co_await this->store.Replace(claim, std::move(progress), deadline);
  net::LogLine("job_handed_over")
      .With("job", claim.job)
      .With("listed", job->ledger.NextPosition())
      .With("written", std::holds_alternative<Claim>(outcome));
  this->Drop(job, "handed_over");
}

void JobService::HandOver() {
  const std::map<std::string, Job> jobs = this->owned;
  for (const auto& [id, job] : jobs) {
    net::asio::co_spawn(this->gateway.executor, this->HandOverJob(job), net::asio::detached);
  }
}

}  // namespace lentilhead::jobs
