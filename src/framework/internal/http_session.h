#pragma once

#include <libsoup/soup.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "framework/types/time_types.h"

namespace lentilhead::framework::internal {

/// Most requests in flight in one session.
inline constexpr int kMaxRequestsPerSession = 8;

/// One libsoup session that carries a bounded number of requests to one origin.
struct HttpSession {
  HttpSession(std::string origin, GTlsDatabase* authorities);
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;
  ~HttpSession();

  std::string origin;
  SoupSession* session;
  int requests = 0;         ///< Requests in flight.
  MonotonicTime last_used;  ///< When the last request ended.

  /// Remembers the socket of a connection.
  void AddSocket(std::uint64_t connection_id, GSocket* socket);

  /// Returns the socket of a connection, or null.
  [[nodiscard]] std::shared_ptr<GSocket> FindSocket(std::uint64_t connection_id) const;

 private:
  std::map<std::uint64_t, std::shared_ptr<GSocket>> sockets;
};

/// True if the peer has ended the connection or it is closed here.
bool IsAtEnd(GSocket* socket);

}  // namespace lentilhead::framework::internal
