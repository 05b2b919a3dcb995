#include "batch/internal/open_entry.h"

#include "batch/internal/job_keys.h"

namespace lentilhead::batch::internal {

namespace {

using nlohmann::json;

std::int64_t ToMilliseconds(framework::WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

std::string TextOf(const json& value, const char* key) {
  const auto found = value.is_object() ? value.find(key) : value.end();
  return found != value.end() && found->is_string() ? found->get<std::string>() : std::string();
}

framework::WallTime TimeOf(const json& value, const char* key) {
  const auto found = value.is_object() ? value.find(key) : value.end();
  const std::int64_t milliseconds =
      found != value.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
  return framework::WallTime(std::chrono::milliseconds(milliseconds));
}

}  // namespace

std::optional<OpenEntry> OpenEntry::FromRow(const datastore::TableRow& row) {
  OpenEntry entry;
  entry.key = row.key;
  entry.etag = row.etag;
  entry.job = TextOf(row.value, "job");
  entry.caller = TextOf(row.value, "caller");
  entry.upload = TextOf(row.value, "upload");
  entry.created = TimeOf(row.value, "created_ms");
  if (entry.job.empty()) {
    return std::nullopt;
  }
  entry.kind = entry.upload.empty() ? OpenEntryKind::kCancel : OpenEntryKind::kUpload;
  return entry;
}

datastore::TableRow OpenEntry::ToRow(int shard) const {
  const std::string row_key = this->kind == OpenEntryKind::kUpload
                                  ? UploadKey(this->job, this->upload)
                                  : CancelKey(this->job);
  return {OpenPartition(shard),
          row_key,
          this->etag,
          {{"job", this->job},
           {"caller", this->caller},
           {"upload", this->upload},
           {"created_ms", ToMilliseconds(this->created)}}};
}

std::optional<EndedEntry> EndedEntry::FromRow(const datastore::TableRow& row) {
  EndedEntry entry{row.etag, TextOf(row.value, "job"), TextOf(row.value, "caller"),
                   TimeOf(row.value, "expires_ms")};
  if (entry.job.empty()) {
    return std::nullopt;
  }
  return entry;
}

datastore::TableRow EndedEntry::ToRow(int shard) const {
  return {EndedPartition(shard),
          this->job,
          this->etag,
          {{"job", this->job},
           {"caller", this->caller},
           {"expires_ms", ToMilliseconds(this->expires)}}};
}

}  // namespace lentilhead::batch::internal
