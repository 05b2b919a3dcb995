#pragma once

#include <optional>
#include <string>
#include <vector>

#include "jobs/types/claim.h"
#include "jobs/types/item_progress.h"
#include "jobs/types/item_result.h"
#include "rowstore/types/row_range.h"
#include "rowstore/types/transaction.h"

namespace lentilhead::jobs::internal {

inline constexpr char kClaimTable[] = "job_claims";
inline constexpr char kSpecTable[] = "job_specs";
inline constexpr char kResultTable[] = "job_results";
inline constexpr char kProgressTable[] = "job_progress";

/// Partitions that jobs are spread over, because the store limits the writes per second of each.
[[nodiscard]] const std::vector<std::string>& JobParts();

/// Returns the partition that holds the rows of a job.
[[nodiscard]] const std::string& PartOf(const std::string& job);

[[nodiscard]] rowstore::RowKey ClaimKey(const std::string& job);
[[nodiscard]] std::string EncodeClaim(const Claim& claim);
[[nodiscard]] std::optional<Claim> DecodeClaim(const rowstore::Row& row);

/// Returns the range of a job's rows in a table.
[[nodiscard]] rowstore::RowRange RowsOfJob(const char* table, const std::string& job);

/// Splits the text of a submission into rows. @param row_bytes largest size of a row's value.
[[nodiscard]] std::vector<rowstore::WrittenRow> SpecRows(const std::string& job,
                                                         const std::string& text,
                                                         std::size_t row_bytes);

/// Splits the result at a position into rows. @param row_bytes largest size of a row's value.
[[nodiscard]] std::vector<rowstore::WrittenRow> ResultRows(const std::string& job,
                                                           std::uint64_t position,
                                                           const ItemResult& result,
                                                           std::size_t row_bytes);

/// Key of a piece of the result at a position; later results have greater keys.
[[nodiscard]] std::string ResultKey(const std::string& job, std::uint64_t position,
                                    std::size_t piece);

/// Joins the rows of results, sorted by key, and leaves out a result whose last rows are missing.
[[nodiscard]] std::vector<ItemResult> JoinResults(const std::vector<rowstore::Row>& rows);

/// Returns the row that stores the progress of an item.
[[nodiscard]] rowstore::WrittenRow ProgressRow(const std::string& job, std::size_t item,
                                               const ItemProgress& progress);

/// Decodes the progress of an item. @return the item's index and its progress.
[[nodiscard]] std::optional<std::pair<std::size_t, ItemProgress>> DecodeProgress(
    const rowstore::Row& row);

}  // namespace lentilhead::jobs::internal
