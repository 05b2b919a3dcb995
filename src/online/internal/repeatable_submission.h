#pragma once

#include "online/internal/attempt_policy.h"
#include "online/internal/outbound_request.h"
#include "online/internal/request_pipeline.h"
#include "online/internal/request_validator.h"
#include "online/internal/worker_resources.h"

namespace lentilhead::online::internal {

/// Attempt policy that the settings define for every request.
AttemptPolicy DefaultPolicy(const OnlineSettings& settings, framework::MonotonicTime deadline);

/// Submits a request that may be repeated to the pipeline and answers it from its attempts.
/// @param cost cost of the request in the fair queues of the callers.
void SubmitRepeatable(WorkerResources& resources, RequestPipeline& pipeline,
                      const RequestContext& context, double cost, OutboundRequest request,
                      const AttemptPolicy& policy);

}  // namespace lentilhead::online::internal
