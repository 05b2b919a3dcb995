#include "framework/internal/http_call_state.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace lentilhead::framework::internal {

namespace {

constexpr std::size_t kReadBufferSize = 16'384;

using StateReference = std::shared_ptr<HttpCallState>;

StateReference TakeReference(gpointer data) {
  auto* reference = static_cast<StateReference*>(data);
  StateReference state = std::move(*reference);
  delete reference;
  return state;
}

HttpFailureKind KindOf(const GError* error, bool request_started) {
  if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
    return HttpFailureKind::kCancelled;
  }
  if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT)) {
    return HttpFailureKind::kTimeout;
  }
  return request_started ? HttpFailureKind::kConnectionLost : HttpFailureKind::kConnectFailed;
}

}  // namespace

HttpCallState::HttpCallState(TimerService& timers, std::weak_ptr<HttpSessionPool> pool,
                             HttpRequest request, HttpStreamHandlers handlers)
    : timers(timers),
      pool(std::move(pool)),
      request(std::move(request)),
      handlers(std::move(handlers)),
      cancellable(g_cancellable_new()) {}

HttpCallState::~HttpCallState() {
  if (this->message != nullptr) {
    g_signal_handlers_disconnect_by_data(this->message, this);
    g_object_unref(this->message);
  }
  g_clear_object(&this->stream);
  g_object_unref(this->cancellable);
}

void HttpCallState::Start() {
  this->message = soup_message_new(this->request.method.c_str(), this->request.url.c_str());
  if (this->message == nullptr) {
    // Reported from the main loop, so that no callback runs inside Send().
    this->timeout = this->timers.After(std::chrono::nanoseconds(0), [keep = shared_from_this()] {
      keep->Finish(HttpFailure{HttpFailureKind::kInvalidUrl, false, keep->request.url});
    });
    return;
  }
  g_signal_connect(this->message, "starting", G_CALLBACK(HandleStarting), this);
  g_signal_connect(this->message, "restarted", G_CALLBACK(HandleRestarted), this);
  g_signal_connect(this->message, "network-event", G_CALLBACK(HandleNetworkEvent), this);
  SoupMessageHeaders* headers = soup_message_get_request_headers(this->message);
  for (const auto& [name, value] : this->request.headers) {
    soup_message_headers_append(headers, name.c_str(), value.c_str());
  }
  this->SetBody();
  soup_message_add_flags(this->message, SOUP_MESSAGE_NO_REDIRECT);
  // libsoup reuses connections only for messages that it may send again on a stale connection.
  soup_message_add_flags(this->message, this->request.new_connection ? SOUP_MESSAGE_NEW_CONNECTION
                                                                     : SOUP_MESSAGE_IDEMPOTENT);
  this->ArmTimeout(this->request.timeout);
  this->session = this->pool.lock()->Acquire(this->request.url);
  soup_session_send_async(this->session->session, this->message, G_PRIORITY_DEFAULT,
                          this->cancellable, HandleResponse,
                          new StateReference(shared_from_this()));
}

void HttpCallState::SetBody() {
  if (this->request.body.empty() && this->request.content_type.empty()) {
    return;
  }
  GBytes* body = g_bytes_new(this->request.body.data(), this->request.body.size());
  soup_message_set_request_body_from_bytes(this->message, this->request.content_type.c_str(), body);
  g_bytes_unref(body);
}

void HttpCallState::HandleRestarted(SoupMessage* /*message*/, gpointer self) {
  // libsoup repeats an idempotent request whose reused connection was closed, with the rest of the
  // body stream that it has read already.
  static_cast<HttpCallState*>(self)->SetBody();
}

void HttpCallState::Cancel() {
  if (this->finished) {
    return;
  }
  this->finished = true;
  this->handlers = {};
  this->timeout.Cancel();
  g_cancellable_cancel(this->cancellable);
  this->ReleaseSession();
}

void HttpCallState::HandleStarting(SoupMessage* message, gpointer self) {
  auto* state = static_cast<HttpCallState*>(self);
  state->request_started = true;
  if (!state->session) {
    return;
  }
  state->socket = state->session->FindSocket(soup_message_get_connection_id(message));
}

void HttpCallState::HandleNetworkEvent(SoupMessage* message, GSocketClientEvent event,
                                       GIOStream* connection, gpointer self) {
  if (event != G_SOCKET_CLIENT_CONNECTED || !G_IS_SOCKET_CONNECTION(connection)) {
    return;
  }
  // A cancelled call has no session any more.
  const std::shared_ptr<HttpSession>& session = static_cast<HttpCallState*>(self)->session;
  if (session) {
    session->AddSocket(soup_message_get_connection_id(message),
                       g_socket_connection_get_socket(G_SOCKET_CONNECTION(connection)));
  }
}

bool HttpCallState::IsCutShort() const {
  SoupMessageHeaders* headers = soup_message_get_response_headers(this->message);
  const bool chunked = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CHUNKED;
  if (!chunked || !this->socket || !soup_message_is_keepalive(this->message)) {
    return false;
  }
  return IsAtEnd(this->socket.get());
}

void HttpCallState::HandleResponse(GObject* session, GAsyncResult* result, gpointer data) {
  const StateReference state = TakeReference(data);
  GError* error = nullptr;
  state->stream = soup_session_send_finish(SOUP_SESSION(session), result, &error);
  if (state->finished) {
    g_clear_error(&error);
    return;
  }
  if (state->stream == nullptr) {
    state->FailFrom(error);
    return;
  }
  const auto on_head = state->handlers.on_head;
  if (on_head) {
    on_head(state->ReadHead());
  }
  if (state->finished) {
    return;
  }
  state->buffer.resize(kReadBufferSize);
  state->ReadAvailable();
}

void HttpCallState::ReadAvailable() {
  this->ArmTimeout(this->request.idle_timeout);
  auto* pollable = G_POLLABLE_INPUT_STREAM(this->stream);
  while (!this->finished) {
    GError* error = nullptr;
    const gssize size = g_pollable_input_stream_read_nonblocking(
        pollable, this->buffer.data(), this->buffer.size(), this->cancellable, &error);
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
      g_clear_error(&error);
      this->WatchSocket();
      return;
    }
    if (size < 0) {
      this->FailFrom(error);
      return;
    }
    if (size == 0) {
      this->FinishBody();
      return;
    }
    const auto on_data = this->handlers.on_data;
    if (on_data) {
      on_data({this->buffer.data(), static_cast<std::size_t>(size)});
    }
  }
}

void HttpCallState::WatchSocket() {
  if (this->watch != 0) {
    return;
  }
  const auto owner = this->pool.lock();
  if (!owner) {
    return;
  }
  this->watch = owner->Poller().Add(g_socket_get_fd(this->socket.get()),
                                    [keep = shared_from_this()] { keep->ReadAvailable(); });
}

void HttpCallState::FinishBody() {
  if (this->IsCutShort()) {
    this->Finish(HttpFailure{HttpFailureKind::kConnectionLost, true, "cut between two chunks"});
    return;
  }
  this->Finish(std::nullopt);
}

void HttpCallState::ArmTimeout(std::chrono::milliseconds delay) {
  this->timeout = this->timers.After(delay, [this] {
    this->timed_out = true;
    g_cancellable_cancel(this->cancellable);
    if (this->stream != nullptr) {
      this->Finish(HttpFailure{HttpFailureKind::kTimeout, true, "no data in time"});
    }
  });
}

void HttpCallState::FailFrom(GError* error) {
  HttpFailureKind kind = KindOf(error, this->request_started);
  if (this->timed_out) {
    kind = HttpFailureKind::kTimeout;
  }
  HttpFailure failure{kind, this->request_started, error->message};
  g_clear_error(&error);
  this->Finish(std::move(failure));
}

void HttpCallState::Finish(std::optional<HttpFailure> failure) {
  if (this->finished) {
    return;
  }
  this->finished = true;
  this->timeout.Cancel();
  this->ReleaseSession();
  const HttpStreamHandlers last = std::exchange(this->handlers, {});
  if (last.on_end) {
    last.on_end(std::move(failure));
  }
}

void HttpCallState::ReleaseSession() {
  const auto owner = this->pool.lock();
  if (owner) {
    owner->Poller().Remove(std::exchange(this->watch, 0));
  }
  // An open stream would keep its message in the session's queue.
  if (this->stream != nullptr) {
    g_input_stream_close(this->stream, nullptr, nullptr);
    g_clear_object(&this->stream);
  }
  if (this->request.new_connection && this->socket) {
    // libsoup uses the connection for other requests otherwise.
    g_socket_shutdown(this->socket.get(), TRUE, TRUE, nullptr);
  }
  if (owner && this->session) {
    owner->Release(*this->session);
  }
  this->session.reset();
}

HttpResponseHead HttpCallState::ReadHead() const {
  HttpResponseHead head;
  head.status = static_cast<int>(soup_message_get_status(this->message));
  soup_message_headers_foreach(
      soup_message_get_response_headers(this->message),
      [](const char* name, const char* value, gpointer data) {
        std::string lower(name);
        std::transform(lower.begin(), lower.end(), lower.begin(),
                       [](unsigned char letter) { return std::tolower(letter); });
        (*static_cast<std::map<std::string, std::string>*>(data))[lower] = value;
      },
      &head.headers);
  return head;
}

}  // namespace lentilhead::framework::internal
