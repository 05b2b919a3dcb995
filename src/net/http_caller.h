#pragma once

#include <memory>
#include <set>
#include <variant>
#include <vector>

#include "net/call_error.h"
#include "net/framing.h"
#include "net/http_types.h"

namespace lentilhead::net {

/// Sends calls to one HTTP server and reuses a few idle connections to it.
///
/// Sends each call once; the code that makes the call decides whether to repeat it.
class HttpCaller {
 public:
  using Outcome = std::variant<Response, CallError>;

  /// @param address address of the server.
  HttpCaller(asio::any_io_executor executor, tcp::endpoint address);

  /// Sends a request and reads the whole answer.
  /// @param request method, target, headers and body; Host and Content-Length are added.
  /// @param timeout limit on connecting, sending and reading together.
  /// @param most_bytes largest body that is read; an answer with a larger one counts as none.
  asio::awaitable<Outcome> Call(Request request, std::chrono::milliseconds timeout,
                                std::uint64_t most_bytes);

  /// Changes the server and closes idle connections to the old one.
  void SetAddress(const tcp::endpoint& address);

  /// Ends the GET calls in flight as unanswered. Other calls, which may have an effect, go on.
  void EndReads();

  [[nodiscard]] const tcp::endpoint& Address() const { return this->address; }

 private:
  struct Connection {
    explicit Connection(const asio::any_io_executor& executor) : stream(executor) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{kMaxFramingBytes};
    SteadyTime idle_since;
  };

  using Connections = std::set<Connection*>;

  /// Lists the connection of a GET call in flight while the object lives.
  class ReadEntry {
   public:
    /// @param reads shared, as a call that the exit of the process ends may outlive its caller.
    /// @param request the call; it is listed only if it is a GET call.
    ReadEntry(std::shared_ptr<Connections> reads, const Request& request, Connection& connection)
        : reads(std::move(reads)), connection(connection) {
      if (request.method() == http::verb::get) {
        this->reads->insert(&this->connection);
      }
    }
    ReadEntry(const ReadEntry&) = delete;
    ReadEntry& operator=(const ReadEntry&) = delete;
    ~ReadEntry() { this->reads->erase(&this->connection); }

   private:
    std::shared_ptr<Connections> reads;
    Connection& connection;
  };

  std::unique_ptr<Connection> TakeIdle();
  void ReturnIdle(std::unique_ptr<Connection> connection, const tcp::endpoint& server);

  asio::any_io_executor executor;
  tcp::endpoint address;
  std::vector<std::unique_ptr<Connection>> idle;
  std::shared_ptr<Connections> reads = std::make_shared<Connections>();  ///< of GET calls in flight
};

}  // namespace lentilhead::net
