#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "datastore/object_store_client.h"
#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "framework/backoff.h"
#include "sheet/sheet_store.h"
#include "sheet/types/sheet_history_entry.h"

namespace lentilhead::sheet::internal {

/// One submission: stores the body, records the current revision in the history, and replaces the
/// current row if it still holds the expected revision.
class SheetSubmission : public std::enable_shared_from_this<SheetSubmission> {
 public:
  /// @param store ends the submission without a report when it expires.
  SheetSubmission(std::weak_ptr<const void> store, datastore::TableClient& table,
                  datastore::ObjectStoreClient& objects, datastore::ResolvedWriter& writer,
                  std::shared_ptr<const AcceptedSheet> accepted, std::string submitted_by,
                  SheetStore::SheetHandler handler);

  void Start();

 private:
  void PutBody();
  void ReadCurrent();
  void RecordCurrent(const datastore::TableRow& current);
  void ReplaceCurrent(datastore::TableRow current);
  void ReportConflict();

  /// Does a step again after a delay, or fails when no attempt is left.
  void Retry(void (SheetSubmission::*step)(), const std::string& detail);
  void Fail(SheetStoreErrorKind kind, std::string detail);

  std::weak_ptr<const void> store;
  datastore::TableClient& table;
  datastore::ObjectStoreClient& objects;
  datastore::ResolvedWriter& writer;
  std::shared_ptr<const AcceptedSheet> accepted;
  SheetHistoryEntry entry;
  SheetStore::SheetHandler handler;
  framework::Backoff backoff;
  framework::TimerSubscription delay;
  int retries_left;
};

}  // namespace lentilhead::sheet::internal
