#include "net/spawn.h"

#include <exception>

#include "net/log_line.h"

namespace lentilhead::net {

namespace {

void LogFailure(std::string_view name, const std::exception_ptr& failure) {
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& error) {
    LogLine("task_failed").With("task", name).With("error", error.what());
  } catch (...) {
    LogLine("task_failed").With("task", name).With("error", "unknown");
  }
}

}  // namespace

void Spawn(const asio::any_io_executor& executor, std::string_view name, asio::awaitable<void> task,
           std::function<void()> on_failure) {
  asio::co_spawn(executor, std::move(task),
                 [name, on_failure = std::move(on_failure)](const std::exception_ptr& failure) {
                   if (!failure) {
                     return;
                   }
                   LogFailure(name, failure);
                   if (on_failure) {
                     on_failure();
                   }
                 });
}

}  // namespace lentilhead::net
