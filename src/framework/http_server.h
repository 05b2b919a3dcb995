#pragma once

#include <gio/gio.h>
#include <libsoup/soup.h>

#include <cstddef>
#include <cstdint>
#include <memory>

#include "framework/http_router.h"
#include "framework/internal/connection_deadlines.h"
#include "framework/metrics.h"
#include "framework/result.h"
#include "framework/types/http_server_error.h"
#include "framework/types/http_server_settings.h"

namespace lentilhead::framework {

/// HTTP listener of one task, on libsoup.
///
/// It accepts connections itself so that it can bound their number, share a port between tasks
/// (SO_REUSEPORT) and change the TLS certificate without a restart.
class HttpServer {
 public:
  /// @param router handlers; must outlive the server.
  /// @param metrics receives the counters of refused connections and bodies.
  HttpServer(HttpServerSettings settings, const HttpRouter& router, Metrics& metrics);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Listens on the settings' address, on the calling thread's default main context.
  /// @return the port, or an HttpServerError.
  Result<std::uint16_t> Listen();

  /// Reads the TLS files again; running connections keep their session.
  Result<void> ReloadTls();

  /// Closes the listener. Open connections go on.
  void StopListening();

  [[nodiscard]] std::size_t ConnectionCount() const { return this->connections; }

 private:
  static gboolean HandleAccept(GSocket* socket, GIOCondition condition, gpointer self);
  static void HandleConnectionGone(gpointer self, GObject* connection);
  static void HandleEarly(SoupServer* server, SoupServerMessage* message, const char* path,
                          GHashTable* query, gpointer self);
  static void HandleRequest(SoupServer* server, SoupServerMessage* message, const char* path,
                            GHashTable* query, gpointer self);

  static void HandleFinished(SoupServer* server, SoupServerMessage* message, gpointer self);

  void Accept(GSocket* accepted);
  bool RefuseOversized(HttpExchange& exchange, SoupServerMessage* message);
  std::shared_ptr<HttpExchange> ExchangeOf(SoupServerMessage* message);

  HttpServerSettings settings;
  const HttpRouter& router;
  Counter& refused_connections;
  Counter& refused_bodies;
  Counter& refused_headers;
  internal::ConnectionDeadlines deadlines;
  SoupServer* server;
  GSocket* listener = nullptr;
  GSource* accept_source = nullptr;
  GTlsCertificate* certificate = nullptr;
  std::size_t connections = 0;
  std::shared_ptr<HttpServer*> self;
};

}  // namespace lentilhead::framework
