#pragma once

#include <optional>
#include <string>

#include "datastore/types/table_row.h"
#include "framework/types/time_types.h"

namespace lentilhead::batch::internal {

enum class OpenEntryKind { kUpload, kCancel };

/// Row of a shard's open partition: an upload of a job, or the notice of its cancel.
struct OpenEntry {
  OpenEntryKind kind = OpenEntryKind::kUpload;
  std::string key;
  std::string etag;
  std::string job;
  std::string caller;
  std::string upload;  ///< Only for kUpload.
  framework::WallTime created{};

  /// @return no value if the row is something else.
  static std::optional<OpenEntry> FromRow(const datastore::TableRow& row);

  [[nodiscard]] datastore::TableRow ToRow(int shard) const;
};

/// Row of a shard's ended partition: a job whose results expire.
struct EndedEntry {
  std::string etag;
  std::string job;
  std::string caller;
  framework::WallTime expires{};

  static std::optional<EndedEntry> FromRow(const datastore::TableRow& row);
  [[nodiscard]] datastore::TableRow ToRow(int shard) const;
};

}  // namespace lentilhead::batch::internal
