#include "online/internal/model_api.h"

#include <algorithm>
#include <set>
#include <utility>

#include "framework/http_error.h"
#include "online/internal/answer_writer.h"
#include "online/internal/repeatable_submission.h"

namespace lentilhead::online::internal {

namespace {

using framework::HttpExchange;
using nlohmann::json;

constexpr int kOk = 200;
constexpr std::chrono::milliseconds kRetryAfter{1'000};
constexpr const char* kChatPath = "/v1/chat/completions";
constexpr const char* kCompletionPath = "/v1/completions";

std::string ModelNameOf(const sheet::SheetRow& row) {
  return row.adapter.empty() ? row.model : row.model + ":" + row.adapter;
}

bool ServesOnline(const sheet::SheetRow& row) {
  return row.roles.empty() || row.roles.contains(sheet::Role::kOnline);
}

}  // namespace

ModelApi::ModelApi(WorkerResources& resources, const endpoint::EndpointSettings& services,
                   RequestValidator& validator, RequestPipeline& pipeline,
                   const sheet::SheetInForce& sheet)
    : resources(resources),
      services(services),
      validator(validator),
      pipeline(pipeline),
      sheet(sheet) {}

void ModelApi::RegisterRoutes(framework::HttpRouter& router) {
  router.Add("GET", "/v1/models", [this](const auto& exchange) { this->ListModels(exchange); });
  router.Add("POST", kChatPath, [this](const auto& exchange) { this->Complete(exchange, true); });
  router.Add("POST", kCompletionPath,
             [this](const auto& exchange) { this->Complete(exchange, false); });
}

void ModelApi::ListModels(const std::shared_ptr<HttpExchange>& exchange) {
  const auto context = this->validator.Validate(exchange);
  if (!context) {
    return;
  }
  const auto current = this->sheet.Current();
  if (!current) {
    WriteRefusal(*exchange, {RefusalReason::kNotReady, Outcome::kNotRun, kRetryAfter},
                 this->resources.metrics);
    return;
  }
  json models = json::array();
  std::set<std::string> listed;
  for (const sheet::SheetRow& row : current->sheet.rows) {
    const endpoint::ServiceSettings* service = this->services.FindService(row.service);
    const bool is_model = service != nullptr && service->kind == endpoint::ServiceKind::kModel;
    if (is_model && ServesOnline(row) && listed.insert(ModelNameOf(row)).second) {
      models.push_back({{"id", ModelNameOf(row)},
                        {"object", "model"},
                        {"created", 0},
                        {"owned_by", row.service}});
    }
  }
  framework::RespondJson(*exchange, kOk, json({{"object", "list"}, {"data", models}}).dump());
}

void ModelApi::Complete(const std::shared_ptr<HttpExchange>& exchange, bool chat) {
  const auto context = this->validator.Validate(exchange);
  if (!context) {
    return;
  }
  auto parsed = ParseModelRequest(exchange->Body(), chat);
  if (const auto* reason = std::get_if<RefusalReason>(&parsed)) {
    WriteRefusal(*exchange, {*reason, Outcome::kNotRun, std::nullopt}, this->resources.metrics);
    return;
  }
  auto& request = std::get<ModelRequest>(parsed);
  const auto row = this->FindRow(request.model);
  if (const auto* reason = std::get_if<RefusalReason>(&row)) {
    const bool retryable = *reason == RefusalReason::kNotReady;
    const auto retry_after = retryable ? std::optional(kRetryAfter) : std::nullopt;
    WriteRefusal(*exchange, {*reason, Outcome::kNotRun, retry_after}, this->resources.metrics);
    return;
  }
  const sheet::SheetRow& found = *std::get<const sheet::SheetRow*>(row);
  const AttemptPolicy policy = this->PolicyOf(*context, request, found.service);
  const double cost = request.cost;
  SubmitRepeatable(this->resources, this->pipeline, *context, cost,
                   this->Build(*context, request, found, chat), policy);
}

std::variant<const sheet::SheetRow*, RefusalReason> ModelApi::FindRow(
    const std::string& model) const {
  const auto current = this->sheet.Current();
  if (!current) {
    return RefusalReason::kNotReady;
  }
  const sheet::SheetRow* row = current->sheet.FindModel(model);
  if (row == nullptr || !ServesOnline(*row)) {
    return RefusalReason::kUnknownModel;
  }
  const endpoint::ServiceSettings* service = this->services.FindService(row->service);
  if (service == nullptr || service->kind != endpoint::ServiceKind::kModel) {
    return RefusalReason::kUnknownModel;
  }
  return row;
}

OutboundRequest ModelApi::Build(const RequestContext& context, ModelRequest& request,
                                const sheet::SheetRow& row, bool chat) const {
  OutboundRequest built;
  built.request_id = context.request_id;
  built.method = "POST";
  built.path = chat ? kChatPath : kCompletionPath;
  built.content_type = "application/json";
  if (request.model == row.service && request.model != row.model) {
    request.body["model"] = ModelNameOf(row);
    built.body = request.body.dump();
  } else {
    built.body = std::string(context.exchange->Body());
  }
  built.route.service = row.service;
  built.route.model = row.model;
  built.route.version = row.version;
  built.route.adapter = row.adapter;
  built.route.role = "online";
  built.route.zones = row.zones;
  built.route.prefix_hash = request.prefix_hash;
  const auto remaining =
      std::chrono::ceil<std::chrono::milliseconds>(context.deadline - this->resources.timers.Now());
  built.head_timeout = request.stream
                           ? std::min(this->resources.settings.first_token_timeout, remaining)
                           : remaining;
  built.data_timeout = this->resources.settings.token_timeout;
  return built;
}

AttemptPolicy ModelApi::PolicyOf(const RequestContext& context, const ModelRequest& request,
                                 const std::string& service) const {
  AttemptPolicy policy = DefaultPolicy(this->resources.settings, context.deadline);
  policy.streamed = request.stream;
  policy.resumable = request.resumable && this->services.FindService(service)->resumable;
  return policy;
}

}  // namespace lentilhead::online::internal
