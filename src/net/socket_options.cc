#include "net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace lentilhead::net {

namespace {

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using PortAtConnect = asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;
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

void BindSource(tcp::socket& socket, const asio::ip::address& address) {
  if (address.is_unspecified()) {
    return;
  }
  const tcp::endpoint source(address, 0);
  ErrorCode error;
  socket.open(source.protocol(), error);
  if (error) {
    return;
  }
  ErrorCode ignored;
  // Without it, the system could use a port only once instead of once for each destination.
  socket.set_option(PortAtConnect(true), ignored);
  socket.bind(source, error);
  if (error) {
    socket.close(ignored);
  }
}

std::size_t AvailableBytes(tcp::socket& socket) {
  ErrorCode error;
  const std::size_t bytes = socket.available(error);
  return error ? 0 : bytes;
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
