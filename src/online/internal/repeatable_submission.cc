#include "online/internal/repeatable_submission.h"

#include <utility>

#include "online/internal/answer_writer.h"
#include "online/internal/request_run.h"

namespace lentilhead::online::internal {

AttemptPolicy DefaultPolicy(const OnlineSettings& settings, framework::MonotonicTime deadline) {
  AttemptPolicy policy;
  policy.max_attempts = settings.max_attempts;
  policy.max_answer_bytes = settings.max_answer_bytes;
  policy.first_delay = settings.retry_first_delay;
  policy.longest_delay = settings.retry_longest_delay;
  policy.deadline = deadline;
  return policy;
}

void SubmitRepeatable(WorkerResources& resources, RequestPipeline& pipeline,
                      const RequestContext& context, double cost, OutboundRequest request,
                      const AttemptPolicy& policy) {
  const std::uint64_t id = pipeline.NewId();
  const AdmissionRequest admission{id,   context.caller->name, request.route.service,
                                   cost, context.deadline,     context.caller->limits};
  const std::shared_ptr<framework::HttpExchange> exchange = context.exchange;
  OnlineMetrics& metrics = resources.metrics;
  const std::string service = request.route.service;
  const auto run = std::make_shared<RequestRun>(
      resources, std::move(request), policy,
      [&metrics, exchange, service](AttemptEffect& effect) {
        WriteEffect(*exchange, effect, service, metrics);
      },
      [&pipeline, id] { pipeline.Finish(id); });
  PipelineHooks hooks;
  hooks.on_admitted = [run] { run->Start(); };
  hooks.on_rejected = [&metrics, exchange](const Refusal& refusal) {
    WriteRefusal(*exchange, refusal, metrics);
  };
  hooks.on_caller_disconnected = [run] { run->Interrupt(CallerDisconnected{}); };
  hooks.on_drain_limit = [run] { run->Interrupt(DrainLimitReached{}); };
  pipeline.Submit(admission, exchange, std::move(hooks));
}

}  // namespace lentilhead::online::internal
