#include "online/internal/service_api.h"

#include <utility>

#include "framework/hash.h"
#include "online/internal/answer_writer.h"
#include "online/internal/intent_run.h"
#include "online/internal/repeatable_submission.h"

namespace lentilhead::online::internal {

namespace {

using framework::HttpExchange;

constexpr std::string_view kServicesPathPrefix = "/services/";
constexpr std::size_t kMaxIdempotencyKeyLength = 256;
constexpr const char* kForwardedHeaders[] = {"Accept", "Accept-Language", "Idempotency-Key",
                                             "If-Match", "If-None-Match"};

std::string DigestOf(const OutboundRequest& request) {
  std::string content;
  for (const std::string* part : {&request.route.service, &request.method, &request.path,
                                  &request.content_type, &request.body}) {
    content.append(std::to_string(part->size())).append(":").append(*part);
  }
  return framework::Sha256Hex(content);
}

}  // namespace

ServiceApi::ServiceApi(WorkerResources& resources, const endpoint::EndpointSettings& services,
                       RequestValidator& validator, RequestPipeline& pipeline,
                       const sheet::SheetInForce& sheet)
    : resources(resources),
      services(services),
      validator(validator),
      pipeline(pipeline),
      sheet(sheet) {}

void ServiceApi::RegisterRoutes(framework::HttpRouter& router) {
  router.Add("*", std::string(kServicesPathPrefix),
             [this](const auto& exchange) { this->Call(exchange); });
}

void ServiceApi::Call(const std::shared_ptr<HttpExchange>& exchange) {
  const auto context = this->validator.Validate(exchange);
  if (!context) {
    return;
  }
  const std::string rest(exchange->Path().substr(kServicesPathPrefix.size()));
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  const Target target{rest.substr(0, slash), slash == rest.size() ? "/" : rest.substr(slash)};
  const auto refused = this->Check(target);
  if (refused) {
    WriteRefusal(*exchange, {*refused, Outcome::kNotRun, std::nullopt}, this->resources.metrics);
    return;
  }
  OutboundRequest request = this->Build(*context, target);
  const endpoint::ServiceSettings* service = this->services.FindService(target.service);
  if (!service->IsNonRepeatable(request.method, target.path)) {
    AttemptPolicy policy = DefaultPolicy(this->resources.settings, context->deadline);
    policy.engine = false;
    SubmitRepeatable(this->resources, this->pipeline, *context, 1, std::move(request), policy);
    return;
  }
  const auto key = exchange->Header("Idempotency-Key");
  if (!key || key->empty() || key->size() > kMaxIdempotencyKeyLength) {
    WriteRefusal(*exchange, {RefusalReason::kMissingIdempotencyKey, Outcome::kNotRun, std::nullopt},
                 this->resources.metrics);
    return;
  }
  this->SubmitAtMostOnce(*context, std::move(request), *key);
}

std::optional<RefusalReason> ServiceApi::Check(const Target& target) const {
  const auto current = this->sheet.Current();
  if (!current) {
    return RefusalReason::kNotReady;
  }
  const endpoint::ServiceSettings* service = this->services.FindService(target.service);
  if (service == nullptr || service->kind != endpoint::ServiceKind::kPlain ||
      current->sheet.RowsOf(target.service).empty()) {
    return RefusalReason::kUnknownService;
  }
  return std::nullopt;
}

OutboundRequest ServiceApi::Build(const RequestContext& context, const Target& target) const {
  const HttpExchange& exchange = *context.exchange;
  OutboundRequest request;
  request.request_id = context.request_id;
  request.method = std::string(exchange.Method());
  request.path = target.path;
  const std::string query = exchange.QueryString();
  if (!query.empty()) {
    request.path.append("?").append(query);
  }
  for (const char* name : kForwardedHeaders) {
    auto value = exchange.Header(name);
    if (value) {
      request.headers.emplace_back(name, *std::move(value));
    }
  }
  request.headers.emplace_back("X-Caller", context.caller->name);
  request.body = std::string(exchange.Body());
  request.content_type = exchange.Header("Content-Type").value_or("");
  request.route.service = target.service;
  request.route.zones = this->sheet.Current()->sheet.RowsOf(target.service).front()->zones;
  request.head_timeout =
      std::chrono::ceil<std::chrono::milliseconds>(context.deadline - this->resources.timers.Now());
  request.data_timeout = this->resources.settings.token_timeout;
  return request;
}

void ServiceApi::SubmitAtMostOnce(const RequestContext& context, OutboundRequest request,
                                  const std::string& idempotency_key) {
  const std::uint64_t id = this->pipeline.NewId();
  const AdmissionRequest admission{id, context.caller->name, request.route.service,
                                   1,  context.deadline,     context.caller->limits};
  IntentRun::Call call{RowKeyOf(context.caller->name, idempotency_key), DigestOf(request),
                       std::move(request),
                       DefaultPolicy(this->resources.settings, context.deadline)};
  call.policy.engine = false;
  call.policy.repeatable = false;
  call.policy.single_send = true;
  const std::shared_ptr<HttpExchange> exchange = context.exchange;
  const auto run = std::make_shared<IntentRun>(this->resources, std::move(call), exchange,
                                               [this, id] { this->pipeline.Finish(id); });
  PipelineHooks hooks;
  hooks.on_admitted = [run] { run->Start(); };
  hooks.on_rejected = [this, exchange](const Refusal& refusal) {
    WriteRefusal(*exchange, refusal, this->resources.metrics);
  };
  // The call continues after its caller has disconnected, to record the outcome for a resend.
  hooks.on_caller_disconnected = [] {};
  hooks.on_drain_limit = [run] { run->Abort(); };
  this->pipeline.Submit(admission, exchange, std::move(hooks));
}

}  // namespace lentilhead::online::internal
