#include "standin/engine/repeating_server.h"

#include <utility>

#include "standin/engine/internal/repeating_connection.h"

namespace lentilhead::standin {

RepeatingServer::RepeatingServer(AnswerHandler answer)
    : answer(std::move(answer)), service(g_socket_service_new()) {
  GSocketAddress* any_port = g_inet_socket_address_new_from_string("127.0.0.1", 0);
  GSocketAddress* bound = nullptr;
  g_socket_listener_add_address(G_SOCKET_LISTENER(this->service), any_port, G_SOCKET_TYPE_STREAM,
                                G_SOCKET_PROTOCOL_TCP, nullptr, &bound, nullptr);
  g_object_unref(any_port);
  if (bound != nullptr) {
    this->address =
        "127.0.0.1:" + std::to_string(g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)));
    g_object_unref(bound);
  }
  g_signal_connect(this->service, "incoming", G_CALLBACK(HandleIncoming), this);
  g_socket_service_start(this->service);
}

RepeatingServer::~RepeatingServer() {
  g_signal_handlers_disconnect_by_data(this->service, this);
  g_socket_service_stop(this->service);
  g_socket_listener_close(G_SOCKET_LISTENER(this->service));
  g_object_unref(this->service);
}

gboolean RepeatingServer::HandleIncoming(GSocketService* /*service*/, GSocketConnection* connection,
                                         GObject* /*source*/, gpointer self) {
  auto* server = static_cast<RepeatingServer*>(self);
  server->connections.push_back(
      std::make_unique<internal::RepeatingConnection>(connection, server->answer));
  return TRUE;
}

}  // namespace lentilhead::standin
