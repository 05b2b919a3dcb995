#include "jobs/internal/job_rows.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace lentilhead::jobs::internal {

namespace {

using nlohmann::json;

constexpr char kMorePiecesFollow = 'm';  // first byte of every piece but the last
constexpr char kLastPiece = 'e';

std::string RowKeyAt(const std::string& job, std::size_t index) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "/%04zu", index);
  return job + text.data();
}

/// Payload of a row: values are sent as base64, which may count towards the row's size limit.
std::size_t PieceBytes(std::size_t row_bytes) {
  return std::max<std::size_t>(row_bytes / 4 * 3, 64) - 16;
}

json ParseValue(const rowstore::Row& row) { return json::from_msgpack(row.value, true, false); }

std::string Pack(const json& value) {
  const std::vector<std::uint8_t> bytes = json::to_msgpack(value);
  return {bytes.begin(), bytes.end()};
}

std::optional<ItemResult> DecodeResult(const std::string& packed) {
  const json value = json::from_msgpack(packed, true, false);
  if (!value.is_array() || value.size() != 3) {
    return std::nullopt;
  }
  try {
    return ItemResult{value[0].get<std::string>(), static_cast<ItemOutcome>(value[1].get<int>()),
                      value[2].get<std::string>()};
  } catch (const json::exception&) {
    return std::nullopt;  // a field has another type
  }
}

}  // namespace

const std::vector<std::string>& JobParts() {
  static const std::vector<std::string> kParts = {"p0", "p1", "p2", "p3"};
  return kParts;
}

const std::string& PartOf(const std::string& job) {
  return JobParts()[XXH32(job.data(), job.size(), 0) % JobParts().size()];
}

rowstore::RowKey ClaimKey(const std::string& job) { return {kClaimTable, PartOf(job), job}; }

std::string EncodeClaim(const Claim& claim) {
  json fields = {{"owner", claim.owner},
                 {"host", claim.host},
                 {"state", static_cast<int>(claim.state)},
                 {"total", claim.total},
                 {"accepted", claim.accepted_unix_ms},
                 {"due", claim.results_due_ms},
                 {"give_up", claim.give_up_after_ms},
                 {"attempts", claim.max_attempts},
                 {"route", claim.route},
                 {"tokens", claim.waiting_tokens},
                 {"object", claim.spec_in_object}};
  if (!claim.customer.empty()) {
    fields["customer"] = claim.customer;
  }
  if (claim.config_version >= 0) {
    fields["config"] = claim.config_version;
  }
  return Pack(fields);
}

std::optional<Claim> DecodeClaim(const rowstore::Row& row) {
  const json value = ParseValue(row);
  if (!value.is_object()) {
    return std::nullopt;
  }
  try {
    Claim claim;
    claim.job = row.key.key;
    claim.version = row.version;
    value.at("owner").get_to(claim.owner);
    value.at("host").get_to(claim.host);
    claim.state = static_cast<JobState>(value.at("state").get<int>());
    value.at("total").get_to(claim.total);
    value.at("accepted").get_to(claim.accepted_unix_ms);
    value.at("due").get_to(claim.results_due_ms);
    value.at("give_up").get_to(claim.give_up_after_ms);
    value.at("attempts").get_to(claim.max_attempts);
    value.at("object").get_to(claim.spec_in_object);
    claim.customer = value.value("customer", "");
    claim.config_version = value.value("config", std::int64_t{-1});
    claim.route = value.value("route", "");
    claim.waiting_tokens = value.value("tokens", std::int64_t{0});
    return claim;
  } catch (const json::exception&) {
    return std::nullopt;  // this version cannot read the layout of the row
  }
}

rowstore::RowRange RowsOfJob(const char* table, const std::string& job) {
  return {table, PartOf(job), job + "/", job + "0"};  // '0' is the character after '/'
}

std::vector<rowstore::WrittenRow> SpecRows(const std::string& job, const std::string& text,
                                           std::size_t row_bytes) {
  std::vector<rowstore::WrittenRow> rows;
  const std::size_t size = PieceBytes(row_bytes);
  for (std::size_t start = 0; start < text.size(); start += size) {
    rows.push_back(
        {{kSpecTable, PartOf(job), RowKeyAt(job, rows.size())}, text.substr(start, size)});
  }
  return rows;
}

std::string ResultKey(const std::string& job, std::uint64_t position, std::size_t piece) {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "/%08llu/%04zu",
                static_cast<unsigned long long>(position), piece);
  return job + text.data();
}

std::vector<rowstore::WrittenRow> ResultRows(const std::string& job, std::uint64_t position,
                                             const ItemResult& result, std::size_t row_bytes) {
  const std::string packed = Pack({result.id, static_cast<int>(result.outcome), result.output});
  const std::size_t size = PieceBytes(row_bytes);
  std::vector<rowstore::WrittenRow> rows;
  for (std::size_t start = 0; start < packed.size(); start += size) {
    const char piece_mark = start + size < packed.size() ? kMorePiecesFollow : kLastPiece;
    rows.push_back({{kResultTable, PartOf(job), ResultKey(job, position, rows.size())},
                    piece_mark + packed.substr(start, size)});
  }
  return rows;
}

std::vector<ItemResult> JoinResults(const std::vector<rowstore::Row>& rows) {
  std::vector<ItemResult> results;
  std::string packed;
  for (const rowstore::Row& row : rows) {
    if (row.value.empty()) {
      break;
    }
    packed.append(row.value, 1);
    if (row.value.front() == kMorePiecesFollow) {
      continue;
    }
    std::optional<ItemResult> result = DecodeResult(packed);
    packed.clear();
    if (!result) {
      break;
    }
    results.push_back(std::move(*result));
  }
  return results;
}

rowstore::WrittenRow ProgressRow(const std::string& job, std::size_t item,
                                 const ItemProgress& progress) {
  return {{kProgressTable, PartOf(job), RowKeyAt(job, item)},
          Pack({progress.last_event.value_or(-1), progress.failures, progress.output})};
}

std::optional<std::pair<std::size_t, ItemProgress>> DecodeProgress(const rowstore::Row& row) {
  const json value = ParseValue(row);
  const std::size_t slash = row.key.key.rfind('/');
  if (!value.is_array() || value.size() != 3 || slash == std::string::npos) {
    return std::nullopt;
  }
  std::size_t item = 0;
  const char* end = row.key.key.data() + row.key.key.size();
  const auto [stop, failed] = std::from_chars(row.key.key.data() + slash + 1, end, item);
  if (failed != std::errc() || stop != end) {
    return std::nullopt;
  }
  try {
    ItemProgress progress;
    const auto last_event = value[0].get<std::int64_t>();
    if (last_event >= 0) {
      progress.last_event = last_event;
    }
    value[1].get_to(progress.failures);
    value[2].get_to(progress.output);
    return std::pair{item, progress};
  } catch (const json::exception&) {
    return std::nullopt;  // a field has another type
  }
}

}  // namespace lentilhead::jobs::internal
