#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "gateway/cancel_scope.h"
#include "gateway/types/caller_limits.h"
#include "net/held_bytes.h"
#include "net/http_types.h"

namespace lentilhead::gateway {

/// Why a read from a connection gave no request.
enum class ReadProblem {
  kClosed,     ///< the caller closed the connection, or a timeout expired
  kMalformed,  ///< not a valid HTTP request
  kHeaderTooLarge,
  kBodyTooLarge,
  kNoMemory,  ///< the memory budget has no room for the body
};

/// A caller's connection: reads requests and writes their answers, one at a time.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  /// Returns the limits of the configuration in force.
  using LimitsSource = std::function<CallerLimits()>;

  /// @param stop set while the node shuts down; the connection then closes after an answer.
  /// @param memory counts the bytes held for this connection; null counts nothing.
  CallerSession(net::tcp::socket socket, const bool& stop, net::MemoryBudget* memory = nullptr);

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

  /// Sends the head of an answer with a chunked body. Answers to HTTP/1.0 callers are gathered and
  /// sent with a length at their end: without framing, a part would look complete.
  net::asio::awaitable<bool> BeginChunks(net::http::response_header<> head, net::SteadyTime until);

  /// Sends a chunk of the body, or nothing if there are no bytes.
  net::asio::awaitable<bool> SendChunk(std::string bytes, net::SteadyTime until);

  /// Ends a chunked body, which marks the answer as complete.
  net::asio::awaitable<bool> EndChunks(net::SteadyTime until);

  /// Closes the connection. The caller sees an answer that has begun as partial.
  void Abort();

  /// Sets the id of the request that is answered, for the log.
  void SetRequestId(std::string id) { this->request_id = std::move(id); }
  [[nodiscard]] const std::string& RequestId() const { return this->request_id; }

  /// Address of the caller; unspecified if the connection is closed.
  [[nodiscard]] net::asio::ip::address Caller() const;

  /// Number of this connection in the memory budget.
  [[nodiscard]] net::MemoryBudget::Holder Holder() const { return this->held.Number(); }

  /// Tells the memory budget how much of a long write the caller has taken.
  void RecordTaken(net::SteadyTime now);

  /// Resets the connection of a caller that reads too slowly, so that a broken answer never looks
  /// complete and the system drops what it still holds for the caller.
  void EndSlowReader();

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
  /// Reads the body. Once the memory budget has no room for it, reads on and drops the bytes, so
  /// that the caller can read the refusal.
  net::asio::awaitable<net::ErrorCode> ReadBody(Parser& parser);
  /// Counts the bytes of a write in the memory budget until EndWrite().
  void BeginWrite(std::size_t bytes);
  void EndWrite();
  void CountHeld();
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
  net::HeldBytes held;
  std::size_t request_bytes = 0;  ///< held for the request in flight
  std::size_t answer_bytes = 0;   ///< held for the write in progress
  net::SteadyTime write_began;
  std::string request_id;
  CancelScope* watched = nullptr;
  bool wait_pending = false;
  bool is_open = true;
  bool is_idle = true;
  bool answer_begun = false;
  bool lacks_memory = false;  ///< the body of the request is dropped
  bool keep_alive = true;
  bool is_head_request = false;
  bool takes_chunks = true;               ///< the caller knows chunks (HTTP/1.1)
  bool sends_chunks = false;              ///< the answer in progress has a chunked body
  std::optional<net::Response> gathered;  ///< chunked answer to a caller that knows no chunks
};

}  // namespace lentilhead::gateway
