#pragma once

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lentilhead::framework {

/// One request that a server received, and the response being written to it.
///
/// Handlers keep the shared pointer until they have responded. All calls are made on the thread of
/// the server's task. After the peer has gone, writes have no effect and IsClosed() is true.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  using ChunkHandler = std::function<void(std::string_view)>;

  explicit HttpExchange(SoupServerMessage* message);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  ~HttpExchange();

  [[nodiscard]] std::string_view Method() const;
  [[nodiscard]] std::string_view Path() const;
  [[nodiscard]] std::optional<std::string> Query(const char* name) const;
  /// Whole query without the question mark, still encoded; empty if there is none.
  [[nodiscard]] std::string QueryString() const;
  [[nodiscard]] std::optional<std::string> Header(const char* name) const;
  [[nodiscard]] std::string RemoteAddress() const;

  /// Whole request body; empty for a handler that streams the body.
  [[nodiscard]] std::string_view Body() const;

  /// Receives the body piece by piece. Only in a handler registered with AddStreamed().
  void ReadBody(ChunkHandler on_chunk, std::function<void()> on_end);

  /// Stops and restarts the reading of a streamed body, for flow control.
  void PauseBody();
  void ResumeBody();

  /// Sets a response header; before Respond() or StartStream().
  void SetHeader(const char* name, std::string_view value);

  /// Writes a whole response.
  void Respond(int status, const char* content_type, std::string_view body);

  /// Starts a chunked response.
  void StartStream(int status, const char* content_type);
  void WriteChunk(std::string_view chunk);
  void FinishStream();

  /// Closes the connection without ending the response, so that the peer sees a cut.
  void Abort();

  /// Calls back once when the response has been written or the peer has gone.
  /// @param callback takes true if the whole response was written.
  void OnClosed(std::function<void(bool completed)> callback);

  [[nodiscard]] bool IsResponding() const { return this->responding; }
  [[nodiscard]] bool IsClosed() const { return this->closed; }

 private:
  friend class HttpServer;

  static void HandleFinished(SoupServerMessage* message, gpointer self);
  static void HandleDisconnected(SoupServerMessage* message, gpointer self);
  static void HandleChunk(SoupServerMessage* message, GBytes* chunk, gpointer self);

  void Close(bool completed);
  void Unpause();

  SoupServerMessage* message;
  bool paused = false;
  bool responding = false;
  bool closed = false;
  bool ended = false;
  std::size_t max_body_size = 0;
  std::size_t body_size = 0;
  bool body_too_large = false;
  bool headers_too_large = false;
  bool streamed_body = false;
  ChunkHandler on_chunk;
  std::function<void()> on_body_end;
  std::function<void(bool)> on_closed;
  std::shared_ptr<HttpExchange> keep_alive;
};

}  // namespace lentilhead::framework
