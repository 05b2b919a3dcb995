#include "gateway/endpoint_lease.h"

#include <utility>

namespace lentilhead::gateway {

EndpointLease::EndpointLease(std::shared_ptr<EndpointState> endpoint, WorkClass work,
                             std::function<void(const EndpointState&)> on_change,
                             const placement::RequestCost& cost)
    : endpoint(std::move(endpoint)),
      work(work),
      request(this->endpoint->work.Begin(cost)),
      on_change(std::move(on_change)) {
  this->Count(1);
}

EndpointLease::EndpointLease(EndpointLease&& other) noexcept
    : endpoint(std::exchange(other.endpoint, nullptr)),
      work(other.work),
      request(other.request),
      on_change(std::move(other.on_change)) {}

EndpointLease& EndpointLease::operator=(EndpointLease&& other) noexcept {
  if (this != &other) {
    this->Release();
    this->endpoint = std::exchange(other.endpoint, nullptr);
    this->work = other.work;
    this->request = other.request;
    this->on_change = std::move(other.on_change);
  }
  return *this;
}

void EndpointLease::Count(int step) {
  int& count =
      this->work == WorkClass::kOnline ? this->endpoint->own_online : this->endpoint->own_batch;
  count += step;
  this->on_change(*this->endpoint);
}

void EndpointLease::Release() {
  if (this->endpoint) {
    this->endpoint->work.End(this->request);
    this->Count(-1);
    this->endpoint = nullptr;
  }
}

}  // namespace lentilhead::gateway
