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

/// Reads and writes the rows of the leader lease and of the roll-outs in the platform's table.
class ControlStore {
 public:
  using LeaseHandler =
      std::function<void(framework::Reply<std::optional<LeaseRow>, datastore::TableError>)>;
  using RecordHandler = std::function<void(framework::Reply<RolloutRecord, datastore::TableError>)>;
  using DoneHandler = std::function<void(framework::Reply<framework::Done, datastore::TableError>)>;

  ControlStore(datastore::TableClient& table, datastore::ResolvedWriter& writer);

  /// Reads the lease row. The handler gets no value if no row is stored yet.
  void ReadLease(LeaseHandler handler);

  /// Writes the lease row if the stored etag is still that of `row`. The handler gets the row with
  /// its new etag.
  /// @param timeout how long the write is retried.
  void WriteLease(const LeaseRow& row, std::chrono::milliseconds timeout, LeaseHandler handler);

  /// Reads the record. Later calls of WriteRecord replace the version read here.
  void ReadRecord(RecordHandler handler);

  /// Stores the record if the stored one is still the one that this object last read or wrote.
  void WriteRecord(const RolloutRecord& record, DoneHandler handler);

 private:
  datastore::TableClient& table;
  datastore::ResolvedWriter& writer;
  std::shared_ptr<datastore::TableRow> record_row;
};

}  // namespace lentilhead::control::internal
