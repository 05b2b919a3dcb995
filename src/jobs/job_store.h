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

/// What is known of a job that a claim was looked for.
struct NoSuchJob {};
using ClaimOutcome = std::variant<Claim, NoSuchJob, rowstore::StoreError>;

/// Outcome of writing a new job.
struct CreateOutcome {
  ClaimOutcome claim;
  bool is_new = false;  ///< written for sure by this call, and by its last copy
};

/// What a job's rows hold beside its claim.
struct StoredJob {
  JobSpec spec;
  std::vector<ItemResult> listed;
  std::vector<std::pair<std::size_t, ItemProgress>> progress;
};

/// Durable state of batch jobs in the store of rows.
class JobStore {
 public:
  /// @param row_bytes largest value of a row.
  JobStore(rowstore::RowStore& store, std::size_t row_bytes) : store(store), row_bytes(row_bytes) {}

  /// Writes a new job whole.
  /// @return the claim, which is another one when the job exists already; NoSuchJob never.
  net::asio::awaitable<CreateOutcome> Create(Claim claim, std::string submission,
                                             net::SteadyTime deadline);

  net::asio::awaitable<ClaimOutcome> ReadClaim(std::string job, net::SteadyTime deadline);

  /// Replaces a claim whose version is known.
  /// @return the claim in force afterwards, which is another one when somebody was faster.
  net::asio::awaitable<ClaimOutcome> ReplaceClaim(Claim claim,
                                                  std::vector<rowstore::WrittenRow> progress,
                                                  net::SteadyTime deadline);

  /// Lists results at the next positions, and marks the job as done with the last.
  /// @return the claim in force afterwards; its owner is another one when the results were not
  ///   listed because the job was taken over; kRejected when other results are at the positions.
  net::asio::awaitable<ClaimOutcome> AppendResults(Claim claim, std::uint64_t position,
                                                   std::vector<ItemResult> results, bool is_last,
                                                   net::SteadyTime deadline);

  /// Writes how far items have come.
  /// @param rows rows of progress, within the limits of a transaction.
  net::asio::awaitable<bool> SaveProgress(Claim claim, std::vector<rowstore::WrittenRow> rows,
                                          net::SteadyTime deadline);

  /// Reads the items of a job.
  net::asio::awaitable<std::optional<JobSpec>> ReadSpec(Claim claim, net::SteadyTime deadline);

  /// Reads a job whole, to go on with it.
  net::asio::awaitable<std::optional<StoredJob>> ReadJob(Claim claim, net::SteadyTime deadline);

  /// Reads one page of results from a position on. @return nothing when the store does not answer.
  net::asio::awaitable<std::optional<std::vector<ItemResult>>> ReadResults(
      std::string job, std::uint64_t after, net::SteadyTime deadline);

  /// Removes the rows of a job that nobody reads any more.
  net::asio::awaitable<void> Remove(Claim claim, net::SteadyTime deadline);

 private:
  /// Applies a transaction that writes a claim besides, and reads the claim that won on a conflict.
  net::asio::awaitable<CreateOutcome> CommitWithClaim(rowstore::Transaction transaction,
                                                      Claim intended, net::SteadyTime deadline);

  rowstore::RowStore& store;
  std::size_t row_bytes;
};

}  // namespace lentilhead::jobs
