#pragma once

#include <optional>
#include <string>
#include <vector>

#include "jobs/types/claim_outcome.h"
#include "jobs/types/item_progress.h"
#include "jobs/types/item_result.h"
#include "jobs/types/job_spec.h"
#include "rowstore/row_store.h"

namespace lentilhead::jobs {

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

/// What AppendResults() writes besides the results.
struct AppendOptions {
  bool is_last = false;             ///< mark the job as done
  bool counts_tokens = false;       ///< write the job's waiting tokens
  std::int64_t waiting_tokens = 0;  ///< tokens without a result once these results are written
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

  /// Removes a submitted job if the store still has the claim's version.
  /// @return NoSuchJob once it is removed; else the claim stored afterwards.
  net::asio::awaitable<ClaimOutcome> Withdraw(Claim claim, net::SteadyTime deadline);

  /// Reads the claims that changed after a version, in a single call that does not wait.
  net::asio::awaitable<rowstore::ReadOutcome> ReadChangedClaims(rowstore::Version after);

  /// Reads all claims.
  net::asio::awaitable<rowstore::ReadOutcome> ReadAllClaims(net::SteadyTime deadline);

  /// Appends results at the next positions.
  /// @return the claim stored afterwards; another owner in it means that the job was taken over and
  ///   the results were not written; kRejected if other results are at the positions.
  net::asio::awaitable<ClaimOutcome> AppendResults(Claim claim, std::uint64_t position,
                                                   std::vector<ItemResult> results,
                                                   AppendOptions options, net::SteadyTime deadline);

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
  /// Commits a transaction that also writes a claim; on a conflict, finds the claim that is stored.
  net::asio::awaitable<CreateOutcome> CommitWithClaim(rowstore::Transaction transaction,
                                                      Claim intended, net::SteadyTime deadline);

  /// Returns the claim that made a transaction conflict, from the conflict or from the store.
  /// @return kUnknown if it cannot be read: the transaction may have been applied by an earlier
  ///   request whose answer was lost.
  net::asio::awaitable<ClaimOutcome> ClaimAfter(rowstore::Conflict conflict, std::string job,
                                                net::SteadyTime deadline);

  rowstore::RowStore& store;
  std::size_t row_bytes;
};

}  // namespace lentilhead::jobs
