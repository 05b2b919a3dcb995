#include "gateway/limit_changes.h"

#include "gateway/gateway.h"
#include "net/log_line.h"

namespace lentilhead::gateway {

void ReportLimitChange(Gateway& gateway, std::uint32_t incarnation, LimitChange change,
                       std::string_view source) {
  if (change == LimitChange::kNone) {
    return;
  }
  const std::string name(NameOf(change));
  gateway.metrics.GetCounter("gateway_limit_changes_total", {{"change", name}}).Add();
  net::LogLine line("endpoint_limit");
  line.With("change", name)
      .With("source", source)
      .With("limit", gateway.registry.Limits().LimitOf(incarnation))
      .With("limited", gateway.registry.Limits().LimitedCount());
  const std::shared_ptr<EndpointState> endpoint = gateway.registry.FindIncarnation(incarnation);
  if (!endpoint) {
    line.With("endpoint", "unlisted");
    return;
  }
  line.With("endpoint", endpoint->entry.id)
      .With("own_attempts", endpoint->attempts.At(net::Now()))
      .With("own", endpoint->OwnTotal())
      .With("peers", endpoint->peer_online + endpoint->peer_batch);
}

}  // namespace lentilhead::gateway
