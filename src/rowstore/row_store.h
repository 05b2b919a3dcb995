#pragma once

#include <functional>
#include <optional>
#include <string>

#include "net/backoff.h"
#include "net/http_caller.h"
#include "rowstore/store_path.h"
#include "rowstore/types/commit_outcome.h"
#include "rowstore/types/read_result.h"
#include "rowstore/types/row_range.h"
#include "rowstore/types/transaction.h"

namespace lentilhead::rowstore {

/// Client of the store of rows. Calls of one event loop only.
class RowStore {
 public:
  /// Finds the listener of a peer that the store serves, or nothing.
  using RelayFinder = std::function<std::optional<net::tcp::endpoint>()>;

  /// @param address address of the store.
  RowStore(const net::asio::any_io_executor& executor, const net::tcp::endpoint& address);

  /// Changes the address of the store.
  void SetAddress(const net::tcp::endpoint& address);

  /// Lets calls go through a peer while the store does not serve this node.
  void SetRelayFinder(RelayFinder finder) { this->find_relay = std::move(finder); }

  /// Passes a call of a peer on to the store, once.
  /// @return the store's answer; a failure of its own kind when there was none.
  net::asio::awaitable<net::Response> RelayCall(net::Request request);

  /// Whether the store serves this node.
  [[nodiscard]] bool IsServingThisNode() const { return this->path.IsServingThisNode(); }

  /// Applies a transaction, sending the same one try_again until its outcome is known.
  ///
  /// A copy whose answer was lost may still apply later, so a transaction must expect the
  /// versions of the rows that it writes: then at most one copy applies.
  /// @param deadline time after which no further copy is sent.
  /// @return conflict also when an earlier copy of this call applied: the caller compares the
  ///   rows; kNotApplied only when no copy can ever apply; kUnknown otherwise.
  net::asio::awaitable<CommitOutcome> Commit(Transaction transaction, net::SteadyTime deadline);

  /// Reads all rows of a range, in several calls where needed.
  /// @param deadline time after which no further call is sent.
  net::asio::awaitable<ReadOutcome> Read(RowRange range, net::SteadyTime deadline);

  /// Waits for changes of a table; a single call.
  net::asio::awaitable<ReadOutcome> WaitForChanges(std::string table, Version after,
                                                   std::chrono::milliseconds wait);

  /// Stores an object; the name must be used for one content only.
  /// @return whether the object is stored for sure.
  net::asio::awaitable<bool> PutObject(std::string name, std::string bytes,
                                       net::SteadyTime deadline);

  /// Reads an object. @return nothing when it could not be read.
  net::asio::awaitable<std::optional<std::string>> GetObject(std::string name,
                                                             net::SteadyTime deadline);

 private:
  net::asio::awaitable<ReadOutcome> ReadOnce(const RowRange& range, net::SteadyTime deadline);
  net::asio::awaitable<net::HttpCaller::Outcome> Call(net::Request request,
                                                      std::chrono::milliseconds timeout);
  net::asio::awaitable<net::HttpCaller::Outcome> CallDirect(net::Request request,
                                                            std::chrono::milliseconds timeout);
  /// Calls try_again until an answer is the wanted one. @return nothing when none was in time.
  net::asio::awaitable<std::optional<net::Response>> CallUntil(
      net::Request request, std::function<bool(const net::Response&)> is_done,
      net::SteadyTime deadline);
  [[nodiscard]] net::Backoff MakeBackoff(net::SteadyTime deadline) const;

  net::asio::any_io_executor executor;
  net::HttpCaller caller;
  net::HttpCaller relay;
  RelayFinder find_relay;
  StorePath path;
};

}  // namespace lentilhead::rowstore
