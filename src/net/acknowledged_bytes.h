#pragma once

#include <cstdint>
#include <optional>

namespace lentilhead::net {

/// Number of bytes that the other side of a TCP connection has acknowledged since it was opened.
/// @param socket descriptor of the connection. @return nothing if the system does not tell.
[[nodiscard]] std::optional<std::uint64_t> AcknowledgedBytes(int socket);

}  // namespace lentilhead::net
