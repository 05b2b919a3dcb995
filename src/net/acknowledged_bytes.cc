#include "net/acknowledged_bytes.h"

#include <linux/in.h>
#include <linux/tcp.h>
#include <sys/socket.h>

#include <cstddef>

namespace lentilhead::net {

namespace {

// Kernels before 4.1 return a structure that ends before this field.
constexpr std::size_t kMinInfoBytes = offsetof(tcp_info, tcpi_bytes_acked) + sizeof(std::uint64_t);

}  // namespace

std::optional<std::uint64_t> AcknowledgedBytes(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < kMinInfoBytes) {
    return std::nullopt;
  }
  return info.tcpi_bytes_acked;
}

}  // namespace lentilhead::net
