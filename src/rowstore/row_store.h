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

/// Client of the row store, for use in one event loop.
class RowStore {
 public:
  /// Returns the listener of a peer that the store serves, or nothing.
  using RelayFinder = std::function<std::optional<net::tcp::endpoint>()>;

  /// @param address address of the store.
  RowStore(const net::asio::any_io_executor& executor, const net::tcp::endpoint& address);

  /// Changes the address of the store. Reads in flight are ended and repeated at the new address.
  void SetAddress(const net::tcp::endpoint& address);

  /// Sets the function that finds a peer to relay calls while the store does not serve this node.
  void SetRelayFinder(RelayFinder finder) { this->find_relay = std::move(finder); }

  /// Relays a call of a peer to the store, once.
  /// @return the answer of the store; 503 if the call was not sent, 504 if its outcome is unknown.
  net::asio::awaitable<net::Response> RelayCall(net::Request request);

  /// Tells whether the store answered the last direct call without refusing this node; true
  /// before the first call.
  [[nodiscard]] bool IsServingThisNode() const { return this->path.IsServingThisNode(); }

  /// Applies a transaction and repeats the same request until its outcome is known.
  ///
  /// A request whose answer was lost may still be applied later, so a transaction must expect the
  /// versions of the rows that it writes: then it is applied at most once.
  /// @param deadline time after which no further request is sent.
  /// @return Committed if confirmed; a conflict also if an earlier request of this call was
  /// applied,
  ///   so compare the rows; kRejected if the store does not accept the request; kNotApplied only if
  ///   no request can ever be applied; kUnknown otherwise.
  net::asio::awaitable<CommitOutcome> Commit(Transaction transaction, net::SteadyTime deadline);

  /// Reads all rows of a range, in several calls if needed.
  /// @param deadline time after which no further call is sent.
  net::asio::awaitable<ReadOutcome> Read(RowRange range, net::SteadyTime deadline);

  /// Waits for changes of a table, in a single feed call.
  net::asio::awaitable<ReadOutcome> WaitForChanges(std::string table, Version after,
                                                   std::chrono::milliseconds wait);

  /// Stores an object. A name must always be used for the same content.
  /// @return whether the store has confirmed that the object is stored.
  net::asio::awaitable<bool> PutObject(std::string name, std::string bytes,
                                       net::SteadyTime deadline);

  /// Reads an object. @return nothing if it could not be read in time.
  net::asio::awaitable<std::optional<std::string>> GetObject(std::string name,
                                                             net::SteadyTime deadline);

 private:
  net::asio::awaitable<ReadOutcome> ReadPage(const RowRange& range, net::SteadyTime deadline);
  net::asio::awaitable<net::HttpCaller::Outcome> Call(net::Request request,
                                                      std::chrono::milliseconds timeout);
  net::asio::awaitable<net::HttpCaller::Outcome> CallDirect(net::Request request,
                                                            std::chrono::milliseconds timeout);
  /// Repeats a call until `is_done` accepts an answer. @return nothing if none was in time.
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
