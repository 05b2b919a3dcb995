#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "gateway/cancel_scope.h"
#include "gateway/types/caller_limits.h"
#include "net/http_types.h"

namespace lentilhead::gateway {

/// Why no further request was read from a connection.
enum class ReadProblem {
  kClosed,     ///< the caller closed, or nothing came in time
  kMalformed,  ///< not a proper request
  kHeaderTooLarge,
  kBodyTooLarge,
};

/// A caller's connection: reads requests and writes their answers, one after the other.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  /// @param stop flag that is set while the node leaves; answers then close the connection.
  CallerSession(net::tcp::socket socket, const bool& stop);

  /// Waits for a request and reads it whole.
  net::asio::awaitable<std::variant<net::Request, ReadProblem>> ReadRequest(CallerLimits limits);

  /// Watches for the caller's end of the connection while its request is at work.
  /// @param scope cancelled when the caller has gone; alive until StopWatch().
  void StartWatch(CancelScope& scope);
  void StopWatch() { this->watched = nullptr; }

  /// Sends a whole answer.
  /// @return false when the caller could not be reached.
  net::asio::awaitable<bool> Send(net::Response response, net::SteadyTime until);

  /// Begins an answer whose body is sent in pieces.
  net::asio::awaitable<bool> BeginChunks(net::http::response_header<> head, net::SteadyTime until);

  /// Sends a piece of the body. @param bytes not empty.
  net::asio::awaitable<bool> SendChunk(std::string bytes, net::SteadyTime until);

  /// Ends the body as whole.
  net::asio::awaitable<bool> EndChunks(net::SteadyTime until);

  /// Closes the connection: an answer that has begun is seen as cut.
  void Abort();

  /// Closes the connection if no request is being read or answered.
  void CloseIfIdle();

  /// Whether another request may follow.
  [[nodiscard]] bool IsOpen() const { return this->is_open; }

 private:
  using Parser = net::http::request_parser<net::http::string_body>;

  net::asio::awaitable<bool> AwaitFirstByte(CallerLimits limits);
  net::asio::awaitable<net::ErrorCode> ReadWhole(Parser& parser, CallerLimits limits);
  void Watch();
  void OnReadable(net::ErrorCode error);
  [[nodiscard]] bool TakeAvailable();

  net::beast::tcp_stream stream;
  net::beast::flat_buffer buffer;
  const bool& stop;
  CancelScope* watched = nullptr;
  bool wait_pending = false;
  bool is_open = true;
  bool is_idle = true;
  bool keep_alive = true;
  bool is_head = false;
};

}  // namespace lentilhead::gateway
