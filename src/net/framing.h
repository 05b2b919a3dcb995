#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "net/head_problem.h"
#include "net/http_types.h"

namespace lentilhead::net {

/// Bytes that a connection may buffer: the head of a message, the head of one chunk with its
/// extensions, or the trailer. Beast's parser takes each only when it is complete.
inline constexpr std::size_t kMaxFramingBytes = 128 << 10;

/// Tells whether two readers may disagree on where the body of a message ends: its headers state
/// both a length and a transfer coding, or another coding than chunks.
/// @param headers of a request or of an answer.
[[nodiscard]] bool IsBodyAmbiguous(const http::fields& headers);

/// Checks what the parser leaves unchecked in the head of an answer.
/// @return why the answer must not be used; no value if it may be.
[[nodiscard]] std::optional<HeadProblem> ProblemOf(const http::response_header<>& head);

/// Tells whether a header in the bytes of a head continues on another line. RFC 9112 lets a
/// gateway discard such an answer; the parser would add the line to the value before it.
/// @param bytes of the head, not yet parsed; what follows the head is not looked at.
[[nodiscard]] bool HasFoldedLine(std::string_view bytes);

}  // namespace lentilhead::net
