#include "net/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace lentilhead::net {

namespace {

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

constexpr int kKeepAliveSeconds = 1;  // smallest unit of the kernel
// Lets a link that loses single packets keep its connections; Linux applies it only without
// TCP_USER_TIMEOUT.
constexpr int kKeepAliveProbes = 3;

}  // namespace

void SetSocketOptions(tcp::socket& socket, std::chrono::milliseconds silence) {
  ErrorCode ignored;  // the connection works without an option that the system lacks
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(KeepIdle(kKeepAliveSeconds), ignored);
  socket.set_option(KeepInterval(kKeepAliveSeconds), ignored);
  socket.set_option(KeepCount(kKeepAliveProbes), ignored);
  socket.set_option(UserTimeout(static_cast<int>(silence.count())), ignored);
}

bool IsIdleAndOpen(tcp::socket& socket) {
  if (!socket.is_open()) {
    return false;
  }
  char byte = 0;
  const auto seen = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace lentilhead::net
