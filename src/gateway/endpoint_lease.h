#pragma once

#include <functional>
#include <memory>

#include "gateway/types/endpoint_state.h"
#include "gateway/types/work_class.h"

namespace lentilhead::gateway {

/// Counts one request as in flight at an endpoint while the object lives.
class EndpointLease {
 public:
  EndpointLease() = default;
  /// @param on_change called after each change of the count; not empty.
  /// @param cost expected cost of the request.
  EndpointLease(std::shared_ptr<EndpointState> endpoint, WorkClass work,
                std::function<void(const EndpointState&)> on_change,
                const placement::RequestCost& cost = {});
  EndpointLease(EndpointLease&& other) noexcept;
  EndpointLease& operator=(EndpointLease&& other) noexcept;
  EndpointLease(const EndpointLease&) = delete;
  EndpointLease& operator=(const EndpointLease&) = delete;
  ~EndpointLease() { this->Release(); }

  [[nodiscard]] EndpointState& Endpoint() const { return *this->endpoint; }
  [[nodiscard]] const std::shared_ptr<EndpointState>& Shared() const { return this->endpoint; }
  [[nodiscard]] explicit operator bool() const { return this->endpoint != nullptr; }

  /// Records how far the request is. @param units of work that are done.
  void Advance(double units) const { this->endpoint->work.Advance(this->request, units); }

  /// Stops counting the request before the object is destroyed.
  void Release();

 private:
  void Count(int step);

  std::shared_ptr<EndpointState> endpoint;
  WorkClass work = WorkClass::kOnline;
  placement::EndpointWork::RequestId request = 0;
  std::function<void(const EndpointState&)> on_change;
};

}  // namespace lentilhead::gateway
