#include "rowstore/table_follower.h"

#include <algorithm>

#include "net/backoff.h"
#include "net/log_line.h"

namespace lentilhead::rowstore {

namespace {

using std::chrono::milliseconds;

// Limit on reading one partition; if it passes, the read of all partitions starts again.
constexpr milliseconds kReadTimeout{1500};
constexpr milliseconds kErrorRetryDelay{250};  // after a failed call

}  // namespace

TableFollower::TableFollower(net::asio::any_io_executor executor, RowStore& store,
                             FollowedTable followed, SnapshotHandler on_snapshot,
                             ChangesHandler on_changes)
    : executor(std::move(executor)),
      store(store),
      followed(std::move(followed)),
      on_snapshot(std::move(on_snapshot)),
      on_changes(std::move(on_changes)) {}

void TableFollower::NoteOutcome(bool answered, std::string_view cause) {
  if (answered) {
    this->last_answer = net::Now();
  }
  if (answered == this->reachable) {
    return;
  }
  this->reachable = answered;
  net::LogLine(answered ? "store_regained" : "store_lost")
      .With("table", this->followed.table)
      .With("version", this->version)
      .With("cause", cause);
}

net::asio::awaitable<bool> TableFollower::ReadAll() {
  ReadRows all;
  for (const std::string& part : this->followed.parts) {
    RowRange range{this->followed.table, part, "", ""};
    ReadOutcome outcome = co_await this->store.Read(range, net::Now() + kReadTimeout);
    auto* read = std::get_if<ReadRows>(&outcome);
    if (read == nullptr) {
      this->NoteOutcome(false, NameOf(std::get<StoreError>(outcome)));
      co_return false;
    }
    all.Append(std::move(*read));
  }
  this->NoteOutcome(true, "read");
  this->version = all.version;
  this->has_snapshot = true;
  this->on_snapshot(all.rows, all.version);
  co_return true;
}

net::asio::awaitable<bool> TableFollower::ReadChanges() {
  ReadOutcome outcome =
      co_await this->store.WaitForChanges(this->followed.table, this->version, this->followed.wait);
  if (const auto* error = std::get_if<StoreError>(&outcome)) {
    this->NoteOutcome(*error == StoreError::kHistoryExpired, NameOf(*error));
    this->has_snapshot = this->has_snapshot && *error != StoreError::kHistoryExpired;
    co_return *error == StoreError::kHistoryExpired;
  }
  const auto& changes = std::get<ReadRows>(outcome);
  this->NoteOutcome(true, "feed");
  this->version = std::max(this->version, changes.version);
  if (!changes.rows.empty()) {
    this->on_changes(changes.rows, changes.version);
  }
  co_return true;
}

net::asio::awaitable<void> TableFollower::Run() {
  while (true) {
    bool answered = false;
    if (this->has_snapshot) {
      answered = co_await this->ReadChanges();
    } else {
      answered = co_await this->ReadAll();
    }
    net::asio::steady_timer timer(this->executor);
    timer.expires_after(answered ? this->followed.pause : net::Jittered(kErrorRetryDelay));
    co_await timer.async_wait(net::kAwaitWithError);
  }
}

}  // namespace lentilhead::rowstore
