#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "datastore/platform_settings.h"
#include "datastore/types/table_error.h"
#include "datastore/types/table_row.h"
#include "framework/http_client.h"
#include "framework/metrics.h"
#include "framework/result.h"

namespace lentilhead::datastore {

/// Client of the platform's table service (OData entities with etags).
///
/// Every handler is called exactly once, never inside the call, and not after the client has been
/// destroyed.
class TableClient {
 public:
  using RowHandler = std::function<void(framework::Reply<TableRow, TableError>)>;
  using RowsHandler = std::function<void(framework::Reply<std::vector<TableRow>, TableError>)>;
  using DoneHandler = std::function<void(framework::Reply<framework::Done, TableError>)>;

  TableClient(const PlatformSettings& settings, framework::HttpClient& http,
              framework::Metrics& metrics);
  TableClient(const TableClient&) = delete;
  TableClient& operator=(const TableClient&) = delete;
  ~TableClient();

  /// Reads one row.
  void Get(const std::string& partition, const std::string& key, RowHandler handler);

  /// Reads every row of a partition, in the order of the keys.
  void Query(const std::string& partition, RowsHandler handler);

  /// Stores a row that must not exist. The reply carries the new etag.
  void Insert(const TableRow& row, RowHandler handler);

  /// Replaces a row whose stored etag must equal `row.etag`. The reply carries the new etag.
  void Replace(const TableRow& row, RowHandler handler);

  /// Deletes a row whose stored etag must equal `etag`. The transport may send it twice, so
  /// kNotFound can mean that this call deleted the row.
  void Delete(const std::string& partition, const std::string& key, const std::string& etag,
              DoneHandler handler);

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::datastore
