#pragma once

#include <functional>
#include <string_view>

#include "net/http_types.h"

namespace lentilhead::net {

/// Starts a task that nobody awaits. An exception that ends the task is logged.
/// @param name name of the task in the log; must outlive the task.
/// @param on_failure called after such an exception; may be empty.
void Spawn(const asio::any_io_executor& executor, std::string_view name, asio::awaitable<void> task,
           std::function<void()> on_failure = nullptr);

}  // namespace lentilhead::net
