#include <algorithm>

#include "gateway/endpoint_registry.h"

namespace lentilhead::gateway {

bool EndpointRegistry::IsWithinLimit(const EndpointState& state, const ChoiceRequest& request,
                                     net::SteadyTime now) const {
  if (!state.in_group) {
    // The nodes of the endpoint's group use the whole limit.
    return this->outside_limits.MayTry(now) &&
           !this->outside_limits.IsLimited(state.incarnation, now);
  }
  return this->limits.MaySend(state.incarnation, HashKey(request.service), request.work, now);
}

LimitChange EndpointRegistry::RecordLimit(const EndpointState& state, const LimitNotice& notice,
                                          net::SteadyTime sent_at, net::SteadyTime now) {
  if (!state.in_group) {
    this->outside_limits.RecordAnswer(state.incarnation, notice, now);
    return LimitChange::kNone;
  }
  return this->limits.RecordAnswer(state.incarnation, notice, sent_at, now);
}

std::shared_ptr<EndpointState> EndpointRegistry::FindIncarnation(std::uint32_t incarnation) const {
  const auto found =
      std::find_if(this->endpoints.begin(), this->endpoints.end(),
                   [&](const auto& item) { return item.second->incarnation == incarnation; });
  return found == this->endpoints.end() ? nullptr : found->second;
}

}  // namespace lentilhead::gateway
