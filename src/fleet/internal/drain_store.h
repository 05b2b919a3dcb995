#pragma once

#include <functional>
#include <memory>

#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "fleet/types/drain_change.h"
#include "fleet/types/drain_error.h"
#include "fleet/types/drain_state.h"
#include "framework/result.h"
#include "framework/timer_service.h"

namespace lentilhead::fleet::internal {

/// Stores the drained endpoints and instances in one row of the platform's table.
class DrainStore : public std::enable_shared_from_this<DrainStore> {
 public:
  using Handler = std::function<void(framework::Reply<DrainState, DrainError>)>;

  DrainStore(datastore::TableClient& table, datastore::ResolvedWriter& writer,
             framework::TimerService& timers);

  /// Reads the row. Without a row, the handler gets an empty state with revision 0.
  void Fetch(Handler handler);

  /// Changes the row by compare-and-set. A change that is already stored writes nothing.
  void Change(DrainChange change, Handler handler);

 private:
  void TryChange(DrainChange change, int attempts_left, Handler handler);
  void Write(DrainChange change, const datastore::TableRow& row, int attempts_left,
             Handler handler);

  datastore::TableClient& table;
  datastore::ResolvedWriter& writer;
  framework::TimerService& timers;
};

}  // namespace lentilhead::fleet::internal
