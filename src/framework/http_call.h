#pragma once

#include <memory>

namespace lentilhead::framework {

namespace internal {
class HttpCallState;
}

/// Handle of a running request. Destroying it cancels the request without further callbacks.
class HttpCall {
 public:
  HttpCall() = default;
  explicit HttpCall(std::shared_ptr<internal::HttpCallState> state);
  HttpCall(HttpCall&& other) noexcept;
  HttpCall& operator=(HttpCall&& other) noexcept;
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;
  ~HttpCall();

  /// Cancels the request; no callback follows.
  void Cancel();

 private:
  std::shared_ptr<internal::HttpCallState> state;
};

}  // namespace lentilhead::framework
