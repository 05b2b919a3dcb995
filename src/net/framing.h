#pragma once

#include <cstddef>

#include "net/http_types.h"

namespace lentilhead::net {

/// Bytes that a connection may buffer: the head of a message, the head of one chunk with its
/// extensions, or the trailer. Beast's parser takes each only when it is complete.
inline constexpr std::size_t kMaxFramingBytes = 128 << 10;

/// Tells whether two readers may disagree on where the body of a request ends: its headers state
/// both a length and a transfer coding, or another coding than chunks.
[[nodiscard]] bool IsBodyAmbiguous(const Request& request);

}  // namespace lentilhead::net
