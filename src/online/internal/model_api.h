#pragma once

#include <memory>
#include <string>

#include "framework/http_router.h"
#include "online/internal/attempt_policy.h"
#include "online/internal/model_request.h"
#include "online/internal/outbound_request.h"
#include "online/internal/request_pipeline.h"
#include "online/internal/request_validator.h"
#include "online/internal/worker_resources.h"
#include "sheet/sheet_in_force.h"

namespace lentilhead::online::internal {

/// Routes of the model services: `/v1/models`, `/v1/chat/completions` and `/v1/completions`.
class ModelApi {
 public:
  ModelApi(WorkerResources& resources, const endpoint::EndpointSettings& services,
           RequestValidator& validator, RequestPipeline& pipeline,
           const sheet::SheetInForce& sheet);
  ModelApi(const ModelApi&) = delete;
  ModelApi& operator=(const ModelApi&) = delete;

  void RegisterRoutes(framework::HttpRouter& router);

 private:
  void ListModels(const std::shared_ptr<framework::HttpExchange>& exchange);
  void Complete(const std::shared_ptr<framework::HttpExchange>& exchange, bool chat);
  [[nodiscard]] std::variant<const sheet::SheetRow*, RefusalReason> FindRow(
      const std::string& model) const;
  [[nodiscard]] OutboundRequest Build(const RequestContext& context, ModelRequest& request,
                                      const sheet::SheetRow& row, bool chat) const;
  [[nodiscard]] AttemptPolicy PolicyOf(const RequestContext& context, const ModelRequest& request,
                                       const std::string& service) const;

  WorkerResources& resources;
  const endpoint::EndpointSettings& services;
  RequestValidator& validator;
  RequestPipeline& pipeline;
  const sheet::SheetInForce& sheet;
};

}  // namespace lentilhead::online::internal
