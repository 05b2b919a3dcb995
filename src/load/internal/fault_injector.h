#pragma once

#include <vector>

#include "framework/http_client.h"
#include "framework/timer_service.h"
#include "load/types/experiment.h"
#include "load/types/fleet_file.h"

namespace lentilhead::load::internal {

/// Injects the faults of an experiment: sends signals to processes of the fleet and requests to
/// the fault routes of the stand-ins.
class FaultInjector {
 public:
  FaultInjector(const FleetFile& fleet, framework::HttpClient& http);
  FaultInjector(const FaultInjector&) = delete;
  FaultInjector& operator=(const FaultInjector&) = delete;

  void Inject(const ScheduledFault& scheduled);

 private:
  void Send(const SignalFault& fault) const;
  void Send(const StandinFault& fault);

  const FleetFile& fleet;
  framework::HttpClient& http;
  std::vector<framework::HttpCall> calls;
};

}  // namespace lentilhead::load::internal
