#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace lentilhead::datastore::internal {

/// Identity of one logical write, kept in the row that it stored.
struct WriteStamp {
  std::string writer;
  std::uint64_t sequence = 0;
  std::string base;  ///< Etag that the write replaced; empty for an insert.

  [[nodiscard]] bool IsSameWrite(const WriteStamp& other) const {
    return this->writer == other.writer && this->sequence == other.sequence;
  }
};

/// What a stored row proves about a write that wanted to replace `stamp.base`.
enum class WriteProof {
  kApplied,           ///< The row holds the write.
  kAppliedThenOther,  ///< The write was applied and another has replaced it since.
  kLost,              ///< Another write replaced the same version.
  kNone,              ///< The row's lineage does not reach back far enough.
};

/// Puts a stamp into a row's value. The stamp that the value carries goes to its lineage; an insert
/// starts a new lineage.
void PutStamp(nlohmann::json& value, const WriteStamp& stamp);

/// Reads the stamp of a row's value. @return no value if the row was not written with one.
std::optional<WriteStamp> ReadStamp(const nlohmann::json& value);

/// Looks for a write in a row's stamp and lineage.
WriteProof FindProof(const nlohmann::json& value, const WriteStamp& stamp);

}  // namespace lentilhead::datastore::internal
