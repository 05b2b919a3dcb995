#include "framework/internal/http_session.h"

#include <sys/socket.h>

#include <utility>

namespace lentilhead::framework::internal {

namespace {

constexpr guint kIdleConnectionTimeoutSeconds = 30;

}  // namespace

HttpSession::HttpSession(std::string origin, GTlsDatabase* authorities)
    : origin(std::move(origin)),
      session(soup_session_new_with_options(
          "idle-timeout", kIdleConnectionTimeoutSeconds, "timeout", 0U, "max-conns",
          kMaxRequestsPerSession, "max-conns-per-host", kMaxRequestsPerSession, nullptr)) {
  soup_session_remove_feature_by_type(this->session, SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type(this->session, SOUP_TYPE_AUTH_MANAGER);
  if (authorities != nullptr) {
    soup_session_set_tls_database(this->session, authorities);
  }
}

HttpSession::~HttpSession() {
  soup_session_abort(this->session);
  g_object_unref(this->session);
}

void HttpSession::AddSocket(std::uint64_t connection_id, GSocket* socket) {
  std::erase_if(this->sockets,
                [](const auto& entry) { return g_socket_is_closed(entry.second.get()) != FALSE; });
  this->sockets[connection_id] =
      std::shared_ptr<GSocket>(static_cast<GSocket*>(g_object_ref(socket)), g_object_unref);
}

std::shared_ptr<GSocket> HttpSession::FindSocket(std::uint64_t connection_id) const {
  const auto found = this->sockets.find(connection_id);
  return found == this->sockets.end() ? nullptr : found->second;
}

bool IsAtEnd(GSocket* socket) {
  if (g_socket_is_closed(socket) != FALSE) {
    return true;
  }
  char byte = 0;
  return recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

}  // namespace lentilhead::framework::internal
