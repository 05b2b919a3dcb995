#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jobs/types/claim.h"
#include "jobs/types/item_progress.h"
#include "jobs/types/item_result.h"
#include "jobs/types/job_spec.h"
#include "rowstore/row_store.h"

namespace lentilhead::jobs {

/// The store has no claim of the job.
struct NoSuchJob {};
using ClaimOutcome = std::variant<Claim, NoSuchJob, rowstore::StoreError>;

/// Outcome of writing a job or a claim.
struct CreateOutcome {
  ClaimOutcome claim;
  /// Whether this call is known to have written the claim; false also if only an earlier request of
  /// it may have.
  bool is_new = false;
};

/// The contents of a job other than its claim.
struct StoredJob {
  JobSpec spec;
  std::vector<ItemResult> committed;
  std::vector<std::pair<std::size_t, ItemProgress>> progress;
};

/// Stores batch jobs as rows.
class JobStore {
 public:
  /// @param row_bytes largest size of a row's value.
  JobStore(rowstore::RowStore& store, std::size_t row_bytes) : store(store), row_bytes(row_bytes) {}

  /// Writes a new job in one transaction.
  /// @return the stored claim, which differs if the job existed already; NoSuchJob if that was
  ///   removed meanwhile.
  net::asio::awaitable<CreateOutcome> Create(Claim claim, std::string submission,
                                             net::SteadyTime deadline);

  net::asio::awaitable<ClaimOutcome> ReadClaim(std::string job, net::SteadyTime deadline);

  /// Replaces a claim if the store still has the claim's version.
  /// @return the claim stored afterwards, which differs if another writer was first.
  net::asio::awaitable<ClaimOutcome> ReplaceClaim(Claim claim,
                                                  std::vector<rowstore::WrittenRow> progress,
                                                  net::SteadyTime deadline);

  /// Appends results at the next positions; the last ones also mark the job as done.
  /// @return the claim stored afterwards; another owner in it means that the job was taken over and
  ///   the results were not written; kRejected if other results are at the positions.
  net::asio::awaitable<ClaimOutcome> AppendResults(Claim claim, std::uint64_t position,
                                                   std::vector<ItemResult> results, bool is_last,
                                                   net::SteadyTime deadline);

  /// Writes the progress of items.
  /// @param rows rows of progress, within the limits of a transaction.
  net::asio::awaitable<bool> SaveProgress(Claim claim, std::vector<rowstore::WrittenRow> rows,
                                          net::SteadyTime deadline);

  /// Reads the items of a job.
  net::asio::awaitable<std::optional<JobSpec>> ReadSpec(Claim claim, net::SteadyTime deadline);

  /// Reads the items, results and progress of a job, for a new owner.
  net::asio::awaitable<std::optional<StoredJob>> ReadJob(Claim claim, net::SteadyTime deadline);

  /// Reads one page of results from a position. @return nothing if the store did not answer in
  /// time.
  net::asio::awaitable<std::optional<std::vector<ItemResult>>> ReadResults(
      std::string job, std::uint64_t after, net::SteadyTime deadline);

  /// Removes the rows of an expired job, its claim last.
  net::asio::awaitable<void> Remove(Claim claim, net::SteadyTime deadline);

 private:
  /// Commits a transaction that also writes a claim; on a conflict, reads the claim that is stored.
  net::asio::awaitable<CreateOutcome> CommitWithClaim(rowstore::Transaction transaction,
                                                      Claim intended, net::SteadyTime deadline);

  rowstore::RowStore& store;
  std::size_t row_bytes;
};

}  // namespace lentilhead::jobs
