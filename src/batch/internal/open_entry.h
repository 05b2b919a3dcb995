#pragma once

#include <optional>
#include <string>

#include "datastore/types/table_row.h"
#include "framework/types/time_types.h"

namespace lentilhead::batch::internal {

enum class OpenEntryKind { kUpload, kCancel };

/// Row in the open partition of a shard: an upload of a job, or a notice that the job was
/// cancelled.
struct OpenEntry {
  OpenEntryKind kind = OpenEntryKind::kUpload;
  std::string key;
  std::string etag;
  std::string job;
  std::string caller;
  std::string upload;  ///< Only for kUpload.
  framework::WallTime created{};

  /// @return no value if the row names no job.
  static std::optional<OpenEntry> FromRow(const datastore::TableRow& row);

  [[nodiscard]] datastore::TableRow ToRow(int shard) const;
};

/// Row in the ended partition of a shard: an ended job and the time when its results expire.
struct EndedEntry {
  std::string etag;
  std::string job;
  std::string caller;
  framework::WallTime expires{};

  static std::optional<EndedEntry> FromRow(const datastore::TableRow& row);
  [[nodiscard]] datastore::TableRow ToRow(int shard) const;
};

}  // namespace lentilhead::batch::internal
