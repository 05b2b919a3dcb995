#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <chrono>

namespace lentilhead::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using ErrorCode = boost::system::error_code;
using SteadyTime = std::chrono::steady_clock::time_point;

/// Completion token for awaited operations that return their error code instead of throwing it.
inline constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);

/// Returns the current monotonic time.
inline SteadyTime Now() { return std::chrono::steady_clock::now(); }

/// Rounds a duration down to whole milliseconds.
template <class Span>
std::chrono::milliseconds ToMilliseconds(Span span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

}  // namespace lentilhead::net
