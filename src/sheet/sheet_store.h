#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "datastore/object_store_client.h"
#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "framework/result.h"
#include "sheet/types/sheet.h"
#include "sheet/types/sheet_history_entry.h"
#include "sheet/types/sheet_store_error.h"

namespace lentilhead::sheet {

/// Sheets in the platform's services: bodies in the object store, the current revision in one row.
class SheetStore {
 public:
  using SheetHandler =
      std::function<void(framework::Reply<std::shared_ptr<const AcceptedSheet>, SheetStoreError>)>;
  using RevisionHandler = std::function<void(framework::Reply<Revision, SheetStoreError>)>;
  using HistoryHandler =
      std::function<void(framework::Reply<std::vector<SheetHistoryEntry>, SheetStoreError>)>;

  SheetStore(datastore::TableClient& table, datastore::ObjectStoreClient& objects,
             datastore::ResolvedWriter& writer);

  /// Stores a parsed sheet as the next revision.
  /// @param expected revision that the operator saw; another current revision is a conflict that
  ///     names the winner.
  /// @param submitted_by operator, kept in the history.
  void Submit(std::string csv, Sheet sheet, Revision expected, std::string submitted_by,
              SheetHandler handler);

  /// Reads the number of the current revision; 0 if there is no sheet yet.
  void FetchRevision(RevisionHandler handler);

  /// Reads the current sheet; a null sheet if there is none yet.
  void FetchCurrent(SheetHandler handler);

  /// Reads the sheet of an accepted revision.
  void Fetch(Revision revision, SheetHandler handler);

  /// Reads who submitted which revision and when, newest first.
  void FetchHistory(HistoryHandler handler);

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::sheet
