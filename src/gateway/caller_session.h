#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "gateway/cancel_scope.h"
#include "gateway/types/caller_limits.h"
#include "net/http_types.h"

namespace lentilhead::gateway {

/// Why a read from a connection gave no request.
enum class ReadProblem {
  kClosed,     ///< the caller closed the connection, or a timeout expired
  kMalformed,  ///< not a valid HTTP request
  kHeaderTooLarge,
  kBodyTooLarge,
};

/// A caller's connection: reads requests and writes their answers, one at a time.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  /// Returns the limits of the configuration in force.
  using LimitsSource = std::function<CallerLimits()>;

  /// @param stop set while the node shuts down; the connection then closes after an answer.
  CallerSession(net::tcp::socket socket, const bool& stop);

  /// Waits for a request and reads all of it.
  /// @param limits asked again when the idle time is over and when the request begins: the
  ///   configuration may change during the wait.
  net::asio::awaitable<std::variant<net::Request, ReadProblem>> ReadRequest(LimitsSource limits);

  /// Watches whether the caller closes the connection while its request is in flight.
  /// @param scope cancelled when the caller has disconnected; must live until StopWatch().
  void StartWatch(CancelScope& scope);
  void StopWatch() { this->watched = nullptr; }

  /// Sends a complete answer.
  /// @param until time limit of the write.
  /// @return false when the write failed or the connection was closed.
  net::asio::awaitable<bool> Send(net::Response response, net::SteadyTime until);

  /// Sends the head of an answer with a chunked body.
  net::asio::awaitable<bool> BeginChunks(net::http::response_header<> head, net::SteadyTime until);

  /// Sends a chunk of the body. @param bytes not empty.
  net::asio::awaitable<bool> SendChunk(std::string bytes, net::SteadyTime until);

  /// Ends a chunked body, which marks the answer as complete.
  net::asio::awaitable<bool> EndChunks(net::SteadyTime until);

  /// Closes the connection. The caller sees an answer that has begun as partial.
  void Abort();

  /// Ends the wait for a request, so that the connection is closed. No effect while a request is
  /// read or answered, or in the first moments of the wait.
  void CloseIfIdle(net::SteadyTime now);

  /// Whether the answer to the request that was read last has begun.
  [[nodiscard]] bool HasBegunAnswer() const { return this->answer_begun; }

  /// Whether another request may follow.
  [[nodiscard]] bool IsOpen() const { return this->is_open; }

 private:
  using Parser = net::http::request_parser<net::http::string_body>;

  net::asio::awaitable<bool> AwaitFirstByte(const LimitsSource& limits);
  /// Closes the connection when it has been idle for the time allowed.
  void WatchIdleTime(const LimitsSource& limits);
  net::asio::awaitable<net::ErrorCode> ReadWhole(Parser& parser, CallerLimits limits);
  void Watch();
  void OnReadable(net::ErrorCode error);
  [[nodiscard]] bool TakeAvailable();
  void EndIdleWait();
  [[nodiscard]] bool ClosesAfterAnswer() const;

  net::beast::tcp_stream stream;
  net::beast::flat_buffer buffer;
  net::asio::steady_timer idle_timer;
  net::SteadyTime idle_since;
  const bool& stop;
  CancelScope* watched = nullptr;
  bool wait_pending = false;
  bool is_open = true;
  bool is_idle = true;
  bool answer_begun = false;
  bool keep_alive = true;
  bool is_head_request = false;
};

}  // namespace lentilhead::gateway
