#include "gateway/internal/stray_bytes.h"

#include "net/log_line.h"

namespace lentilhead::gateway::internal {

void ReportStrayBytes(framework::Metrics& metrics, const EndpointConnection& connection,
                      StrayPlace place, std::size_t bytes) {
  net::LogLine("stray_bytes")
      .With("endpoint", connection.endpoint->entry.id)
      .With("place", NameOf(place))
      .With("request", connection.request)
      .With("bytes", bytes);
  metrics.GetCounter("gateway_stray_bytes_total", {{"place", std::string(NameOf(place))}}).Add();
}

}  // namespace lentilhead::gateway::internal
