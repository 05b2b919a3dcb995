#include "framework/http_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <memory>
#include <utility>

#include "framework/http_error.h"

namespace lentilhead::framework {

namespace {

constexpr int kListenBacklog = 1024;
constexpr int kMaxAcceptsPerTurn = 64;
constexpr const char* kExchangeKey = "lentilhead-exchange";
constexpr const char* kSocketKey = "lentilhead-socket";

using ServerReference = std::shared_ptr<HttpServer*>;

/// What the end of a connection needs to know.
struct ConnectionReference {
  ServerReference server;
  GSocket* socket;
};

/// The exchange holds the message, so the message must not hold the exchange.
using ExchangeReference = std::weak_ptr<HttpExchange>;

/// Gives the server a listener that is closed at once.
///
/// libsoup keeps connections open between requests only while the server has a listener of its
/// own, but HttpServer accepts the connections itself.
void AddClosedListener(SoupServer* server) {
  GSocket* socket =
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr);
  if (socket == nullptr) {
    return;
  }
  GSocketAddress* address = g_inet_socket_address_new_from_string("127.0.0.1", 0);
  if (g_socket_bind(socket, address, TRUE, nullptr) != FALSE &&
      g_socket_listen(socket, nullptr) != FALSE) {
    soup_server_listen_socket(server, socket, static_cast<SoupServerListenOptions>(0), nullptr);
  }
  g_socket_close(socket, nullptr);
  g_object_unref(address);
  g_object_unref(socket);
}

/// Binds a socket; g_socket_bind() would turn SO_REUSEPORT off.
bool Bind(GSocket* socket, GSocketAddress* address, bool share_port, GError** error) {
  if (!share_port) {
    return g_socket_bind(socket, address, TRUE, error) != FALSE;
  }
  g_socket_set_option(socket, SOL_SOCKET, SO_REUSEADDR, 1, nullptr);
  g_socket_set_option(socket, SOL_SOCKET, SO_REUSEPORT, 1, nullptr);
  sockaddr_storage native{};
  if (g_socket_address_to_native(address, &native, sizeof(native), error) == FALSE) {
    return false;
  }
  const auto size = static_cast<socklen_t>(g_socket_address_get_native_size(address));
  if (bind(g_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&native), size) == 0) {
    return true;
  }
  g_set_error_literal(error, G_IO_ERROR, g_io_error_from_errno(errno), g_strerror(errno));
  return false;
}

/// Socket of the connection that a message arrived on. libsoup knows none for a connection that it
/// was given, so the address that it was given with it refers to the socket.
GSocket* SocketOf(SoupServerMessage* message) {
  GSocketAddress* remote = soup_server_message_get_remote_address(message);
  return remote == nullptr ? nullptr
                           : static_cast<GSocket*>(g_object_get_data(G_OBJECT(remote), kSocketKey));
}

std::size_t SizeOf(SoupMessageHeaders* headers) {
  std::size_t size = 0;
  soup_message_headers_foreach(
      headers,
      [](const char* name, const char* value, gpointer total) {
        *static_cast<std::size_t*>(total) += std::strlen(name) + std::strlen(value);
      },
      &size);
  return size;
}

std::string TakeMessage(GError* error) {
  std::string message = error == nullptr ? "unknown" : error->message;
  g_clear_error(&error);
  return message;
}

}  // namespace

HttpServer::HttpServer(HttpServerSettings settings, const HttpRouter& router, Metrics& metrics)
    : settings(std::move(settings)),
      router(router),
      refused_connections(
          metrics.GetCounter("http_refusals_total", {{"reason", "too_many_connections"}})),
      refused_bodies(metrics.GetCounter("http_refusals_total", {{"reason", "body_too_large"}})),
      refused_headers(metrics.GetCounter("http_refusals_total", {{"reason", "headers_too_large"}})),
      deadlines(this->settings, metrics),
      server(soup_server_new(nullptr, nullptr)),
      self(std::make_shared<HttpServer*>(this)) {
  soup_server_add_early_handler(this->server, nullptr, HandleEarly, this, nullptr);
  soup_server_add_handler(this->server, nullptr, HandleRequest, this, nullptr);
  g_signal_connect(this->server, "request-finished", G_CALLBACK(HandleFinished), this);
}

HttpServer::~HttpServer() {
  g_signal_handlers_disconnect_by_data(this->server, this);
  this->StopListening();
  soup_server_remove_handler(this->server, "/");
  soup_server_disconnect(this->server);
  g_object_unref(this->server);
  g_clear_object(&this->certificate);
}

Result<std::uint16_t> HttpServer::Listen() {
  BOOST_LEAF_CHECK(this->ReloadTls());
  AddClosedListener(this->server);
  GSocketAddress* address =
      g_inet_socket_address_new_from_string(this->settings.address.c_str(), this->settings.port);
  if (address == nullptr) {
    return boost::leaf::new_error(
        HttpServerError{HttpServerErrorKind::kAddressInvalid, this->settings.address});
  }
  GError* error = nullptr;
  this->listener = g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                                G_SOCKET_PROTOCOL_TCP, &error);
  if (this->listener == nullptr) {
    g_object_unref(address);
    return boost::leaf::new_error(
        HttpServerError{HttpServerErrorKind::kListenFailed, TakeMessage(error)});
  }
  g_socket_set_listen_backlog(this->listener, kListenBacklog);
  g_socket_set_blocking(this->listener, FALSE);
  const bool listening = Bind(this->listener, address, this->settings.share_port, &error) &&
                         g_socket_listen(this->listener, &error) != FALSE;
  g_object_unref(address);
  if (!listening) {
    g_clear_object(&this->listener);
    return boost::leaf::new_error(
        HttpServerError{HttpServerErrorKind::kListenFailed, TakeMessage(error)});
  }
  this->deadlines.Start();
  this->accept_source = g_socket_create_source(this->listener, G_IO_IN, nullptr);
  g_source_set_callback(this->accept_source, G_SOURCE_FUNC(HandleAccept), this, nullptr);
  g_source_attach(this->accept_source, g_main_context_get_thread_default());
  GSocketAddress* local = g_socket_get_local_address(this->listener, nullptr);
  const std::uint16_t port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local));
  g_object_unref(local);
  return port;
}

Result<void> HttpServer::ReloadTls() {
  if (this->settings.tls_certificate_file.empty()) {
    return {};
  }
  GError* error = nullptr;
  GTlsCertificate* loaded = g_tls_certificate_new_from_files(
      this->settings.tls_certificate_file.c_str(), this->settings.tls_key_file.c_str(), &error);
  if (loaded == nullptr) {
    return boost::leaf::new_error(
        HttpServerError{HttpServerErrorKind::kTlsUnreadable, TakeMessage(error)});
  }
  g_clear_object(&this->certificate);
  this->certificate = loaded;
  return {};
}

void HttpServer::StopListening() {
  if (this->listener == nullptr) {
    return;
  }
  // Connections that the kernel has accepted already would be reset.
  HandleAccept(this->listener, G_IO_IN, this);
  g_source_destroy(this->accept_source);
  g_source_unref(this->accept_source);
  this->accept_source = nullptr;
  g_socket_close(this->listener, nullptr);
  g_clear_object(&this->listener);
}

gboolean HttpServer::HandleAccept(GSocket* socket, GIOCondition /*condition*/, gpointer self) {
  auto* http_server = static_cast<HttpServer*>(self);
  for (int turn = 0; turn < kMaxAcceptsPerTurn; ++turn) {
    GSocket* accepted = g_socket_accept(socket, nullptr, nullptr);
    if (accepted == nullptr) {
      return G_SOURCE_CONTINUE;
    }
    http_server->Accept(accepted);
    g_object_unref(accepted);
  }
  return G_SOURCE_CONTINUE;
}

void HttpServer::Accept(GSocket* accepted) {
  if (this->connections >= this->settings.max_connections) {
    this->refused_connections.Add();
    g_socket_close(accepted, nullptr);
    return;
  }
  g_socket_set_timeout(accepted, static_cast<guint>(this->settings.idle_timeout.count()));
  g_socket_set_option(accepted, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  GSocketAddress* remote = g_socket_get_remote_address(accepted, nullptr);
  GSocketAddress* local = g_socket_get_local_address(accepted, nullptr);
  GIOStream* stream = G_IO_STREAM(g_socket_connection_factory_create_connection(accepted));
  if (this->certificate != nullptr) {
    GIOStream* encrypted = g_tls_server_connection_new(stream, this->certificate, nullptr);
    g_object_unref(stream);
    stream = encrypted;
  }
  if (remote != nullptr) {
    g_object_set_data_full(G_OBJECT(remote), kSocketKey, g_object_ref(accepted), g_object_unref);
  }
  this->connections += 1;
  g_object_weak_ref(G_OBJECT(stream), HandleConnectionGone,
                    new ConnectionReference{this->self, accepted});
  this->deadlines.Begin(accepted, internal::ConnectionDeadlines::Phase::kFirstHeaders);
  soup_server_accept_iostream(this->server, stream, local, remote, nullptr);
  g_object_unref(stream);
  g_clear_object(&remote);
  g_clear_object(&local);
}

void HttpServer::HandleConnectionGone(gpointer data, GObject* /*connection*/) {
  const std::unique_ptr<ConnectionReference> reference(static_cast<ConnectionReference*>(data));
  // The last reference is held by the server itself; one left alone outlived it.
  if (reference->server.use_count() > 1) {
    HttpServer* http_server = *reference->server;
    http_server->connections -= 1;
    http_server->deadlines.End(reference->socket);
  }
}

void HttpServer::HandleEarly(SoupServer* /*server*/, SoupServerMessage* message,
                             const char* /*path*/, GHashTable* /*query*/, gpointer self) {
  auto* http_server = static_cast<HttpServer*>(self);
  const auto exchange = std::make_shared<HttpExchange>(message);
  exchange->keep_alive = exchange;
  exchange->max_body_size = http_server->settings.max_body_size;
  g_object_set_data_full(G_OBJECT(message), kExchangeKey, new ExchangeReference(exchange),
                         [](gpointer data) { delete static_cast<ExchangeReference*>(data); });
  GSocket* socket = SocketOf(message);
  SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
  exchange->headers_too_large = SizeOf(headers) > http_server->settings.max_header_size;
  if (exchange->headers_too_large) {
    http_server->deadlines.Begin(socket, internal::ConnectionDeadlines::Phase::kBody);
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    return;
  }
  const goffset length = soup_message_headers_get_content_length(headers);
  if (length > static_cast<goffset>(http_server->settings.max_body_size)) {
    exchange->body_too_large = true;
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    return;
  }
  http_server->deadlines.Begin(socket, internal::ConnectionDeadlines::Phase::kBody);
  exchange->streamed_body = http_server->router.RouteHead(exchange);
  if (exchange->streamed_body) {
    http_server->deadlines.End(socket);
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
  }
}

void HttpServer::HandleRequest(SoupServer* /*server*/, SoupServerMessage* message,
                               const char* /*path*/, GHashTable* /*query*/, gpointer self) {
  auto* http_server = static_cast<HttpServer*>(self);
  const std::shared_ptr<HttpExchange> exchange = http_server->ExchangeOf(message);
  if (!exchange || exchange->closed) {
    return;
  }
  http_server->deadlines.End(SocketOf(message));
  if (http_server->RefuseOversized(*exchange, message)) {
    return;
  }
  if (exchange->streamed_body) {
    const auto on_end = std::exchange(exchange->on_body_end, nullptr);
    if (on_end) {
      on_end();
    }
  } else {
    http_server->router.Route(exchange);
  }
  if (!exchange->responding && !exchange->closed) {
    exchange->PauseBody();
  }
}

bool HttpServer::RefuseOversized(HttpExchange& exchange, SoupServerMessage* message) {
  if (!exchange.body_too_large && !exchange.headers_too_large) {
    return false;
  }
  soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection",
                               "close");
  if (exchange.headers_too_large) {
    this->refused_headers.Add();
    RespondError(exchange, {431, "invalid_request_error", "headers_too_large",
                            "the request headers are too large", std::nullopt, "not_run"});
    return true;
  }
  this->refused_bodies.Add();
  RespondError(exchange, {413, "invalid_request_error", "body_too_large",
                          "the request body is too large", std::nullopt, "not_run"});
  return true;
}

void HttpServer::HandleFinished(SoupServer* /*server*/, SoupServerMessage* message, gpointer self) {
  GSocket* socket = SocketOf(message);
  if (socket != nullptr) {
    static_cast<HttpServer*>(self)->deadlines.Begin(
        socket, internal::ConnectionDeadlines::Phase::kNextHeaders);
  }
}

std::shared_ptr<HttpExchange> HttpServer::ExchangeOf(SoupServerMessage* message) {
  const auto* reference =
      static_cast<ExchangeReference*>(g_object_get_data(G_OBJECT(message), kExchangeKey));
  return reference == nullptr ? nullptr : reference->lock();
}

}  // namespace lentilhead::framework
