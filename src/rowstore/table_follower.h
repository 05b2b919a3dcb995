#pragma once

#include <functional>
#include <string>
#include <vector>

#include "rowstore/row_store.h"

namespace lentilhead::rowstore {

/// Table to follow, and the pace of reading it.
struct FollowedTable {
  std::string table;
  std::vector<std::string> parts;        ///< partitions that a full read covers
  std::chrono::milliseconds pause{0};    ///< pause after each answer of the feed
  std::chrono::milliseconds wait{1500};  ///< time that the store holds an idle feed call
};

/// Follows a table: reads a snapshot, then the changes; reads a new snapshot when the feed no
/// longer has the next changes.
class TableFollower {
 public:
  /// Receives all rows of the followed partitions, at least as new as the version.
  using SnapshotHandler = std::function<void(const std::vector<Row>& rows, Version version)>;
  /// Receives changed rows, in order.
  using ChangesHandler = std::function<void(const std::vector<Row>& rows, Version version)>;

  TableFollower(net::asio::any_io_executor executor, RowStore& store, FollowedTable followed,
                SnapshotHandler on_snapshot, ChangesHandler on_changes);

  /// Follows the table until the event loop stops.
  net::asio::awaitable<void> Run();

  /// Sets the pause after each answer of the feed.
  void SetPause(std::chrono::milliseconds pause) { this->followed.pause = pause; }

  /// Returns the time of the store's last answer to this follower.
  [[nodiscard]] net::SteadyTime LastAnswer() const { return this->last_answer; }

  /// Tells whether the last call succeeded; the answer that the history has expired counts, too.
  [[nodiscard]] bool IsReachable() const { return this->reachable; }

 private:
  net::asio::awaitable<bool> ReadAll();
  net::asio::awaitable<bool> ReadChanges();
  void NoteOutcome(bool answered, std::string_view cause);

  net::asio::any_io_executor executor;
  RowStore& store;
  FollowedTable followed;
  SnapshotHandler on_snapshot;
  ChangesHandler on_changes;
  Version version = 0;
  bool has_snapshot = false;
  bool reachable = false;
  net::SteadyTime last_answer;
};

}  // namespace lentilhead::rowstore
