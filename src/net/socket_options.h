#pragma once

#include "net/http_types.h"

namespace lentilhead::net {

/// Disables Nagle's algorithm, and lets the kernel close a connection whose peer stops
/// acknowledging.
/// @param silence longest time that sent data or a keep-alive probe may stay unacknowledged.
void SetSocketOptions(tcp::socket& socket, std::chrono::milliseconds silence);

/// Opens a socket that connects from an address, so that the other side can tell who connects.
/// Leaves it as it is, and the choice to the system, if the address is unspecified or can't be
/// used.
/// @param socket not open.
void BindSource(tcp::socket& socket, const asio::ip::address& address);

/// Returns the number of bytes that were received and not read; 0 for a closed connection.
[[nodiscard]] std::size_t AvailableBytes(tcp::socket& socket);

/// Tells whether a connection is open, and no error or byte is pending on it.
[[nodiscard]] bool IsIdleAndOpen(tcp::socket& socket);

}  // namespace lentilhead::net
