#pragma once

#include <functional>
#include <utility>

namespace lentilhead::gateway {

/// Why the work for a request was cancelled.
enum class CancelCause {
  kCallerGone,  ///< nobody waits for the answer any more
  kNodeExit,    ///< the process is about to exit; the caller still waits
};

/// Cancels the work for a request.
class CancelScope {
 public:
  [[nodiscard]] bool IsCancelled() const { return this->cancelled; }

  /// Cause of the first cancellation.
  [[nodiscard]] CancelCause Cause() const { return this->cause; }

  /// Cancels the work and ends its current wait. Cannot be undone.
  void Cancel(CancelCause why = CancelCause::kCallerGone) {
    if (std::exchange(this->cancelled, true)) {
      return;
    }
    this->cause = why;
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
  CancelCause cause = CancelCause::kCallerGone;
  std::function<void()> on_cancel;
};

}  // namespace lentilhead::gateway
