#pragma once

#include <string_view>

namespace lentilhead::framework {

/// Tells whether an answer that states JSON was broken off. Where only the end of the connection
/// marks the end of an answer, its content alone shows that.
/// @param content_type value of the answer's Content-Type header; empty if it has none.
/// @param body all bytes received.
/// @return true if JSON is stated and `body` is not one whole JSON text.
[[nodiscard]] bool IsBrokenJson(std::string_view content_type, std::string_view body);

}  // namespace lentilhead::framework
