#include "load/internal/fault_injector.h"

#include <csignal>

#include "framework/log_event.h"

namespace lentilhead::load::internal {

using framework::LogEvent;
using framework::Severity;

FaultInjector::FaultInjector(const FleetFile& fleet, framework::HttpClient& http)
    : fleet(fleet), http(http) {}

void FaultInjector::Inject(const ScheduledFault& scheduled) {
  std::visit([this](const auto& fault) { this->Send(fault); }, scheduled.fault);
}

void FaultInjector::Send(const SignalFault& fault) const {
  const auto found = this->fleet.process_ids.find(fault.process);
  if (found == this->fleet.process_ids.end()) {
    LogEvent(Severity::kError, "fault_process_not_found").With("process", fault.process);
    return;
  }
  const int result = kill(found->second, fault.signal);
  LogEvent(Severity::kInfo, "signal_fault_sent")
      .With("process", fault.process)
      .With("signal", fault.signal)
      .With("sent", result == 0);
}

void FaultInjector::Send(const StandinFault& fault) {
  const auto found = this->fleet.endpoint_urls.find(fault.target);
  const std::string base =
      found == this->fleet.endpoint_urls.end() ? this->fleet.platform_url : found->second;
  framework::HttpRequest request;
  request.method = "POST";
  request.url = base + fault.path;
  request.content_type = "application/json";
  request.body = fault.body;
  this->calls.push_back(
      this->http.Send(std::move(request), [target = fault.target](const auto& reply) {
        LogEvent(Severity::kInfo, "standin_fault_sent")
            .With("target", target)
            .With("status", reply ? reply.Value().head.status : 0);
      }));
}

}  // namespace lentilhead::load::internal
