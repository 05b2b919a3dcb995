#pragma once

#include <functional>
#include <utility>

namespace lentilhead::gateway {

/// Cancels the work for a request whose answer is no longer needed.
class CancelScope {
 public:
  [[nodiscard]] bool IsCancelled() const { return this->cancelled; }

  /// Cancels the work and ends its current wait. Cannot be undone.
  void Cancel() {
    if (std::exchange(this->cancelled, true)) {
      return;
    }
    if (this->on_cancel) {
      const std::function<void()> action = std::exchange(this->on_cancel, nullptr);
      action();
    }
  }

  /// Sets the function that ends the current wait; empty if there is none. Calls it at once if
  /// already cancelled.
  void OnCancel(std::function<void()> action) {
    if (this->cancelled && action) {
      action();
      return;
    }
    this->on_cancel = std::move(action);
  }

 private:
  bool cancelled = false;
  std::function<void()> on_cancel;
};

}  // namespace lentilhead::gateway
