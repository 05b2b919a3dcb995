#include "datastore/internal/write_stamp.h"

#include <utility>

namespace lentilhead::datastore::internal {

namespace {

constexpr const char* kWriter = "writer";
constexpr const char* kSequence = "write_sequence";
constexpr const char* kBase = "write_base";
constexpr const char* kLineage = "write_lineage";
constexpr std::size_t kMaxLineage = 6;
constexpr std::size_t kLineageFields = 3;

nlohmann::json RenderStamp(const WriteStamp& stamp) {
  return nlohmann::json::array({stamp.writer, stamp.sequence, stamp.base});
}

std::optional<WriteStamp> ReadLineageEntry(const nlohmann::json& entry) {
  const bool valid = entry.is_array() && entry.size() == kLineageFields && entry[0].is_string() &&
                     entry[1].is_number_unsigned() && entry[2].is_string();
  if (!valid) {
    return std::nullopt;
  }
  return WriteStamp{entry[0].get<std::string>(), entry[1].get<std::uint64_t>(),
                    entry[2].get<std::string>()};
}

nlohmann::json LineageOf(const nlohmann::json& value) {
  const auto found = value.find(kLineage);
  return found != value.end() && found->is_array() ? *found : nlohmann::json::array();
}

}  // namespace

void PutStamp(nlohmann::json& value, const WriteStamp& stamp) {
  nlohmann::json lineage = nlohmann::json::array();
  const auto previous = ReadStamp(value);
  if (previous && !stamp.base.empty()) {
    lineage.push_back(RenderStamp(*previous));
    for (const nlohmann::json& entry : LineageOf(value)) {
      if (lineage.size() < kMaxLineage) {
        lineage.push_back(entry);
      }
    }
  }
  value[kWriter] = stamp.writer;
  value[kSequence] = stamp.sequence;
  value[kBase] = stamp.base;
  value[kLineage] = std::move(lineage);
}

std::optional<WriteStamp> ReadStamp(const nlohmann::json& value) {
  if (!value.is_object() || !value.contains(kWriter) || !value.contains(kSequence) ||
      !value.contains(kBase)) {
    return std::nullopt;
  }
  return ReadLineageEntry(nlohmann::json::array({value[kWriter], value[kSequence], value[kBase]}));
}

WriteProof FindProof(const nlohmann::json& value, const WriteStamp& stamp) {
  const auto current = ReadStamp(value);
  if (!current) {
    return WriteProof::kNone;
  }
  if (current->IsSameWrite(stamp)) {
    return WriteProof::kApplied;
  }
  if (current->base == stamp.base) {
    return WriteProof::kLost;
  }
  for (const nlohmann::json& entry : LineageOf(value)) {
    const auto earlier = ReadLineageEntry(entry);
    if (earlier && earlier->IsSameWrite(stamp)) {
      return WriteProof::kAppliedThenOther;
    }
    if (earlier && earlier->base == stamp.base) {
      return WriteProof::kLost;
    }
  }
  return WriteProof::kNone;
}

}  // namespace lentilhead::datastore::internal
