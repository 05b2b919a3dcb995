#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "framework/types/http_message.h"

namespace lentilhead::framework {

/// Callbacks of a streamed response, in this order; `on_end` is the last.
struct HttpStreamHandlers {
  std::function<void(const HttpResponseHead&)> on_head;
  std::function<void(std::string_view)> on_data;
  /// Takes the failure, or no value if the whole response arrived.
  std::function<void(std::optional<HttpFailure>)> on_end;
};

}  // namespace lentilhead::framework
