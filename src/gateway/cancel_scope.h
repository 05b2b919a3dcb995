#pragma once

#include <functional>
#include <utility>

namespace lentilhead::gateway {

/// Tells the work for a request that nobody waits for it any more.
class CancelScope {
 public:
  [[nodiscard]] bool IsCancelled() const { return this->cancelled; }

  /// Ends the present wait of the work, now and for good.
  void Cancel() {
    if (std::exchange(this->cancelled, true)) {
      return;
    }
    if (this->on_cancel) {
      const std::function<void()> action = std::exchange(this->on_cancel, nullptr);
      action();
    }
  }

  /// Sets what ends the present wait; an empty function when there is none.
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
