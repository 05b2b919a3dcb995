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

/// Parts over which jobs are spread; a part takes a limited number of writes a second.
[[nodiscard]] const std::vector<std::string>& JobParts();

/// Part of a job's rows.
[[nodiscard]] const std::string& PartOf(const std::string& job);

[[nodiscard]] rowstore::RowKey ClaimKey(const std::string& job);
[[nodiscard]] std::string EncodeClaim(const Claim& claim);
[[nodiscard]] std::optional<Claim> DecodeClaim(const rowstore::Row& row);

/// All rows of a job in a table.
[[nodiscard]] rowstore::RowRange RowsOfJob(const char* table, const std::string& job);

/// Rows that hold the text of a submission. @param row_bytes largest value of a row.
[[nodiscard]] std::vector<rowstore::WrittenRow> SpecRows(const std::string& job,
                                                         const std::string& text,
                                                         std::size_t row_bytes);

/// Rows that hold a result at a position.
[[nodiscard]] std::vector<rowstore::WrittenRow> ResultRows(const std::string& job,
                                                           std::uint64_t position,
                                                           const ItemResult& result,
                                                           std::size_t row_bytes);

/// Key from which the results at a position and after it are read.
[[nodiscard]] std::string ResultKey(const std::string& job, std::uint64_t position,
                                    std::size_t piece);

/// Joins rows of results, in the order of their keys; a result whose rows are not all there is
/// left out.
[[nodiscard]] std::vector<ItemResult> JoinResults(const std::vector<rowstore::Row>& rows);

/// Row that holds how far an item has come.
[[nodiscard]] rowstore::WrittenRow ProgressRow(const std::string& job, std::size_t item,
                                               const ItemProgress& progress);

/// Reads a row of progress. @return the index of the item and its progress.
[[nodiscard]] std::optional<std::pair<std::size_t, ItemProgress>> DecodeProgress(
    const rowstore::Row& row);

}  // namespace lentilhead::jobs::internal
