#pragma once

#include <functional>
#include <string>
#include <vector>

#include "rowstore/row_store.h"

namespace lentilhead::rowstore {

/// What a follower reads and how often.
struct FollowedTable {
  std::string table;
  std::vector<std::string> parts;        ///< parts that a full read covers
  std::chrono::milliseconds pause{0};    ///< least time between two feed answers
  std::chrono::milliseconds wait{1500};  ///< time that the store holds an idle feed call
};

/// Keeps a copy of a table current: a full read first and after each gap, then a feed.
class TableFollower {
 public:
  /// Takes over all rows of the table as of a version.
  using SnapshotHandler = std::function<void(const std::vector<Row>& rows, Version version)>;
  /// Takes over changed rows, in order.
  using ChangesHandler = std::function<void(const std::vector<Row>& rows, Version version)>;

  TableFollower(net::asio::any_io_executor executor, RowStore& store, FollowedTable followed,
                SnapshotHandler on_snapshot, ChangesHandler on_changes);

  /// Follows until the event loop stops.
  net::asio::awaitable<void> Run();

  /// Time of the last answer of the store to this follower.
  [[nodiscard]] net::SteadyTime LastAnswer() const { return this->last_answer; }

  /// Whether the last call was answered.
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
