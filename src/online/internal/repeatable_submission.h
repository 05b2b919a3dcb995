#pragma once

#include "online/internal/attempt_policy.h"
#include "online/internal/outbound_request.h"
#include "online/internal/request_pipeline.h"
#include "online/internal/request_validator.h"
#include "online/internal/worker_resources.h"

namespace lentilhead::online::internal {

/// Policy of attempts that the settings give to every request.
AttemptPolicy DefaultPolicy(const OnlineSettings& settings, framework::MonotonicTime deadline);

/// Puts a request that may be repeated into the pipeline and answers it from its attempts.
/// @param cost share of the caller's turn that the request uses up.
void SubmitRepeatable(WorkerResources& resources, RequestPipeline& pipeline,
                      const RequestContext& context, double cost, OutboundRequest request,
                      const AttemptPolicy& policy);

}  // namespace lentilhead::online::internal
