#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "control/internal/lease_row.h"
#include "control/internal/rollout_record.h"
#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "framework/result.h"

namespace lentilhead::control::internal {

/// Rows of the leader lease and of the roll-outs in the platform's table.
class ControlStore {
 public:
  using LeaseHandler =
      std::function<void(framework::Reply<std::optional<LeaseRow>, datastore::TableError>)>;
  using RecordHandler = std::function<void(framework::Reply<RolloutRecord, datastore::TableError>)>;
  using DoneHandler = std::function<void(framework::Reply<framework::Done, datastore::TableError>)>;

  ControlStore(datastore::TableClient& table, datastore::ResolvedWriter& writer);

  /// Reads the lease; no row if there is none yet.
  void ReadLease(LeaseHandler handler);

  /// Stores the lease if its etag is still the stored one. @return the row with its new etag.
  void WriteLease(const LeaseRow& row, std::chrono::milliseconds patience, LeaseHandler handler);

  /// Reads the record, as the base of later writes.
  void ReadRecord(RecordHandler handler);

  /// Stores the record over the one last read or written here.
  void WriteRecord(const RolloutRecord& record, DoneHandler handler);

 private:
  datastore::TableClient& table;
  datastore::ResolvedWriter& writer;
  std::shared_ptr<datastore::TableRow> record_row;
};

}  // namespace lentilhead::control::internal
