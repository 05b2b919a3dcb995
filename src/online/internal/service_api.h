#pragma once

#include <memory>
#include <string>

#include "framework/http_router.h"
#include "online/internal/outbound_request.h"
#include "online/internal/request_pipeline.h"
#include "online/internal/request_validator.h"
#include "online/internal/worker_resources.h"
#include "sheet/sheet_in_force.h"

namespace lentilhead::online::internal {

/// Routes of the plain services: `/services/<service>/<path>`.
class ServiceApi {
 public:
  ServiceApi(WorkerResources& resources, const endpoint::EndpointSettings& services,
             RequestValidator& validator, RequestPipeline& pipeline,
             const sheet::SheetInForce& sheet);
  ServiceApi(const ServiceApi&) = delete;
  ServiceApi& operator=(const ServiceApi&) = delete;

  void RegisterRoutes(framework::HttpRouter& router);

 private:
  /// Service and path from the URL of a request.
  struct Target {
    std::string service;
    std::string path;
  };

  void Call(const std::shared_ptr<framework::HttpExchange>& exchange);
  [[nodiscard]] std::optional<RefusalReason> Check(const Target& target) const;
  [[nodiscard]] OutboundRequest Build(const RequestContext& context, const Target& target) const;
  void SubmitAtMostOnce(const RequestContext& context, OutboundRequest request,
                        const std::string& idempotency_key);

  WorkerResources& resources;
  const endpoint::EndpointSettings& services;
  RequestValidator& validator;
  RequestPipeline& pipeline;
  const sheet::SheetInForce& sheet;
};

}  // namespace lentilhead::online::internal
