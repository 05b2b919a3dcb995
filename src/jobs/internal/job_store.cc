#include "jobs/job_store.h"

#include <algorithm>

#include "jobs/internal/job_rows.h"
#include "platform/job_codec.h"

namespace lentilhead::jobs {

namespace {

using net::asio::awaitable;
using rowstore::StoreError;

constexpr std::size_t kMaxTransactionRows = 100;  // limit of the store
// Base64 in JSON keeps this below the 1 MB that the store allows.
constexpr std::size_t kMaxTransactionBytes = 600 << 10;

const rowstore::Row* FindRow(const std::vector<rowstore::Row>& rows, const rowstore::RowKey& key) {
  const auto found = std::find_if(rows.begin(), rows.end(),
                                  [&](const rowstore::Row& row) { return row.key == key; });
  return found == rows.end() ? nullptr : &*found;
}

}  // namespace

awaitable<ClaimOutcome> JobStore::ReadClaim(std::string job, net::SteadyTime deadline) {
  const rowstore::RowKey key = internal::ClaimKey(job);
  rowstore::RowRange range{key.table, key.part, key.key, key.key + '\x01'};
  rowstore::ReadOutcome outcome = co_await this->store.Read(range, deadline);
  if (const auto* error = std::get_if<StoreError>(&outcome)) {
    co_return *error;
  }
  const rowstore::Row* row = FindRow(std::get<rowstore::ReadRows>(outcome).rows, key);
  if (row == nullptr) {
    co_return NoSuchJob{};
  }
  std::optional<Claim> claim = internal::DecodeClaim(*row);
  if (!claim) {
    co_return StoreError::kRejected;
  }
  co_return std::move(*claim);
}

awaitable<CreateOutcome> JobStore::CommitWithClaim(rowstore::Transaction transaction,
                                                   Claim intended, net::SteadyTime deadline) {
  transaction.written.push_back(
      {internal::ClaimKey(intended.job), internal::EncodeClaim(intended)});
  rowstore::CommitOutcome outcome = co_await this->store.Commit(std::move(transaction), deadline);
  if (const auto* committed = std::get_if<rowstore::Committed>(&outcome)) {
    intended.version = committed->version;
    co_return CreateOutcome{std::move(intended), true};
  }
  if (const auto* error = std::get_if<StoreError>(&outcome)) {
    co_return CreateOutcome{*error, false};
  }
  ClaimOutcome current = co_await this->ClaimAfter(std::get<rowstore::Conflict>(std::move(outcome)),
                                                   intended.job, deadline);
  co_return CreateOutcome{std::move(current), false};
}

awaitable<ClaimOutcome> JobStore::ClaimAfter(rowstore::Conflict conflict, std::string job,
                                             net::SteadyTime deadline) {
  if (const rowstore::Row* row = FindRow(conflict.rows, internal::ClaimKey(job))) {
    if (std::optional<Claim> claim = internal::DecodeClaim(*row)) {
      co_return std::move(*claim);
    }
  }
  ClaimOutcome current = co_await this->ReadClaim(std::move(job), deadline);
  if (std::holds_alternative<StoreError>(current)) {
    // An earlier request of the same call may be what it conflicts with.
    co_return StoreError::kUnknown;
  }
  co_return current;
}

awaitable<CreateOutcome> JobStore::Create(Claim claim, std::string submission,
                                          net::SteadyTime deadline) {
  rowstore::Transaction transaction;
  std::vector<rowstore::WrittenRow> rows =
      internal::SpecRows(claim.job, submission, this->row_bytes);
  if (rows.size() + 1 > kMaxTransactionRows || submission.size() > kMaxTransactionBytes) {
    const bool stored = co_await this->store.PutObject(claim.job, std::move(submission), deadline);
    if (!stored) {
      // The job does not exist without its claim, even if the object was stored.
      co_return CreateOutcome{StoreError::kNotApplied, false};
    }
    claim.spec_in_object = true;
    rows.clear();
  }
  transaction.expected.push_back({internal::ClaimKey(claim.job), 0});
  transaction.written = std::move(rows);
  co_return co_await this->CommitWithClaim(std::move(transaction), std::move(claim), deadline);
}

awaitable<ClaimOutcome> JobStore::ReplaceClaim(Claim claim,
                                               std::vector<rowstore::WrittenRow> progress,
                                               net::SteadyTime deadline) {
  rowstore::Transaction transaction;
  transaction.expected.push_back({internal::ClaimKey(claim.job), claim.version});
  transaction.written = std::move(progress);
  CreateOutcome outcome =
      co_await this->CommitWithClaim(std::move(transaction), std::move(claim), deadline);
  co_return std::move(outcome.claim);
}

awaitable<ClaimOutcome> JobStore::Withdraw(Claim claim, net::SteadyTime deadline) {
  rowstore::RowRange range = internal::RowsOfJob(internal::kSpecTable, claim.job);
  rowstore::ReadOutcome specs = co_await this->store.Read(range, deadline);
  if (const auto* error = std::get_if<StoreError>(&specs)) {
    co_return *error;
  }
  rowstore::Transaction transaction;
  transaction.expected.push_back({internal::ClaimKey(claim.job), claim.version});
  transaction.removed.push_back(internal::ClaimKey(claim.job));
  for (const rowstore::Row& row : std::get<rowstore::ReadRows>(specs).rows) {
    transaction.removed.push_back(row.key);
  }
  rowstore::CommitOutcome outcome = co_await this->store.Commit(std::move(transaction), deadline);
  if (const auto* error = std::get_if<StoreError>(&outcome)) {
    co_return *error;
  }
  if (std::holds_alternative<rowstore::Committed>(outcome)) {
    co_return NoSuchJob{};
  }
  co_return co_await this->ClaimAfter(std::get<rowstore::Conflict>(std::move(outcome)), claim.job,
                                      deadline);
}

awaitable<rowstore::ReadOutcome> JobStore::ReadChangedClaims(rowstore::Version after) {
  co_return co_await this->store.WaitForChanges(internal::kClaimTable, after,
                                                std::chrono::milliseconds(0));
}

awaitable<rowstore::ReadOutcome> JobStore::ReadAllClaims(net::SteadyTime deadline) {
  rowstore::ReadRows all;
  for (const std::string& part : internal::JobParts()) {
    rowstore::RowRange range{internal::kClaimTable, part, "", ""};
    rowstore::ReadOutcome outcome = co_await this->store.Read(range, deadline);
    auto* read = std::get_if<rowstore::ReadRows>(&outcome);
    if (read == nullptr) {
      co_return outcome;
    }
    all.Append(std::move(*read));
  }
  co_return all;
}

awaitable<ClaimOutcome> JobStore::AppendResults(Claim claim, std::uint64_t position,
                                                std::vector<ItemResult> results,
                                                AppendOptions options, net::SteadyTime deadline) {
  rowstore::Transaction transaction;
  transaction.expected.push_back({internal::ClaimKey(claim.job), claim.version});
  transaction.expected.push_back({{internal::kResultTable, internal::PartOf(claim.job),
                                   internal::ResultKey(claim.job, position, 0)},
                                  0});
  const std::uint64_t first_position = position;
  for (const ItemResult& result : results) {
    std::vector<rowstore::WrittenRow> rows =
        internal::ResultRows(claim.job, position, result, this->row_bytes);
    std::move(rows.begin(), rows.end(), std::back_inserter(transaction.written));
    ++position;
  }
  const Claim before = claim;
  claim.waiting_tokens = options.waiting_tokens;
  if (options.is_last) {
    claim.state = JobState::kDone;
  }
  const bool writes_claim = options.is_last || options.counts_tokens;
  if (writes_claim) {
    transaction.written.push_back({internal::ClaimKey(claim.job), internal::EncodeClaim(claim)});
  }
  rowstore::CommitOutcome outcome = co_await this->store.Commit(std::move(transaction), deadline);
  if (const auto* error = std::get_if<StoreError>(&outcome)) {
    co_return *error;
  }
  if (const auto* committed = std::get_if<rowstore::Committed>(&outcome)) {
    if (!writes_claim) {
      co_return before;
    }
    claim.version = committed->version;
    co_return claim;
  }
  const ClaimOutcome stored_claim = co_await this->ClaimAfter(
      std::get<rowstore::Conflict>(std::move(outcome)), claim.job, deadline);
  const auto* current = std::get_if<Claim>(&stored_claim);
  if (current == nullptr || current->owner != before.owner) {
    co_return stored_claim;
  }
  // An earlier request of this call may have been applied: then the stored results are the same.
  std::optional<std::vector<ItemResult>> stored =
      co_await this->ReadResults(claim.job, first_position, deadline);
  if (!stored) {
    co_return StoreError::kUnknown;
  }
  const bool same = stored->size() >= results.size() &&
                    std::equal(results.begin(), results.end(), stored->begin(),
                               [](const ItemResult& left, const ItemResult& right) {
                                 return left.id == right.id;
                               });
  if (!same) {
    co_return StoreError::kRejected;
  }
  co_return *current;
}

awaitable<bool> JobStore::SaveProgress(Claim claim, std::vector<rowstore::WrittenRow> rows,
                                       net::SteadyTime deadline) {
  rowstore::Transaction transaction;
  transaction.expected.push_back({internal::ClaimKey(claim.job), claim.version});
  transaction.written = std::move(rows);
  rowstore::CommitOutcome outcome = co_await this->store.Commit(std::move(transaction), deadline);
  co_return std::holds_alternative<rowstore::Committed>(outcome);
}

awaitable<std::optional<JobSpec>> JobStore::ReadSpec(Claim claim, net::SteadyTime deadline) {
  std::string text;
  if (claim.spec_in_object) {
    std::optional<std::string> object = co_await this->store.GetObject(claim.job, deadline);
    if (!object) {
      co_return std::nullopt;
    }
    text = std::move(*object);
  } else {
    rowstore::RowRange range = internal::RowsOfJob(internal::kSpecTable, claim.job);
    rowstore::ReadOutcome outcome = co_await this->store.Read(range, deadline);
    const auto* rows = std::get_if<rowstore::ReadRows>(&outcome);
    if (rows == nullptr) {
      co_return std::nullopt;
    }
    for (const rowstore::Row& row : rows->rows) {
      text += row.value;
    }
  }
  platform::SubmissionOutcome spec = platform::DecodeSubmission(text);
  if (auto* decoded = std::get_if<JobSpec>(&spec)) {
    co_return std::move(*decoded);
  }
  co_return std::nullopt;
}

awaitable<std::optional<StoredJob>> JobStore::ReadJob(Claim claim, net::SteadyTime deadline) {
  StoredJob job;
  std::optional<JobSpec> spec = co_await this->ReadSpec(claim, deadline);
  if (!spec) {
    co_return std::nullopt;
  }
  job.spec = std::move(*spec);
  rowstore::RowRange result_range = internal::RowsOfJob(internal::kResultTable, claim.job);
  rowstore::ReadOutcome results = co_await this->store.Read(result_range, deadline);
  rowstore::RowRange progress_range = internal::RowsOfJob(internal::kProgressTable, claim.job);
  rowstore::ReadOutcome progress = co_await this->store.Read(progress_range, deadline);
  const auto* result_rows = std::get_if<rowstore::ReadRows>(&results);
  const auto* progress_rows = std::get_if<rowstore::ReadRows>(&progress);
  if (result_rows == nullptr || progress_rows == nullptr) {
    co_return std::nullopt;
  }
  job.committed = internal::JoinResults(result_rows->rows);
  for (const rowstore::Row& row : progress_rows->rows) {
    if (auto decoded = internal::DecodeProgress(row)) {
      job.progress.push_back(std::move(*decoded));
    }
  }
  co_return job;
}

awaitable<std::optional<std::vector<ItemResult>>> JobStore::ReadResults(std::string job,
                                                                        std::uint64_t after,
                                                                        net::SteadyTime deadline) {
  rowstore::RowRange range = internal::RowsOfJob(internal::kResultTable, job);
  range.from = internal::ResultKey(job, after, 0);
  range.first_page_only = true;
  rowstore::ReadOutcome outcome = co_await this->store.Read(range, deadline);
  const auto* rows = std::get_if<rowstore::ReadRows>(&outcome);
  if (rows == nullptr) {
    co_return std::nullopt;
  }
  co_return internal::JoinResults(rows->rows);
}

awaitable<void> JobStore::Remove(Claim claim, net::SteadyTime deadline) {
  for (const char* table :
       {internal::kProgressTable, internal::kResultTable, internal::kSpecTable}) {
    rowstore::RowRange range = internal::RowsOfJob(table, claim.job);
    rowstore::ReadOutcome outcome = co_await this->store.Read(range, deadline);
    const auto* rows = std::get_if<rowstore::ReadRows>(&outcome);
    if (rows == nullptr) {
      co_return;
    }
    for (std::size_t start = 0; start < rows->rows.size(); start += kMaxTransactionRows) {
      rowstore::Transaction transaction;
      const std::size_t end = std::min(start + kMaxTransactionRows, rows->rows.size());
      for (std::size_t index = start; index < end; ++index) {
        transaction.removed.push_back(rows->rows[index].key);
      }
      rowstore::CommitOutcome removed =
          co_await this->store.Commit(std::move(transaction), deadline);
      if (!std::holds_alternative<rowstore::Committed>(removed)) {
        co_return;
      }
    }
  }
  rowstore::Transaction last;
  last.expected.push_back({internal::ClaimKey(claim.job), claim.version});
  last.removed.push_back(internal::ClaimKey(claim.job));
  co_await this->store.Commit(std::move(last), deadline);
}

}  // namespace lentilhead::jobs
