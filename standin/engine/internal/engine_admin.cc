#include "standin/engine/internal/engine_admin.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>
#include <utility>

#include "framework/http_error.h"
#include "standin/engine/internal/prefix_key.h"

namespace lentilhead::standin {

using framework::RespondError;
using framework::RespondJson;
using nlohmann::json;

namespace {

std::optional<json> ParseObject(framework::HttpExchange& exchange) {
  json root = json::parse(exchange.Body(), nullptr, false);
  if (root.is_object()) {
    return root;
  }
  RespondError(exchange, {400, "invalid_request_error", "invalid_json",
                          "the body must be a JSON object", std::nullopt, "not_run"});
  return std::nullopt;
}

void RespondInvalid(framework::HttpExchange& exchange, const json::exception& error) {
  RespondError(exchange, {400, "invalid_request_error", "invalid_value", error.what(), std::nullopt,
                          "not_run"});
}

bool AdmitOrder(framework::HttpExchange& exchange, ModelOrders& orders, const json& order) {
  const auto admitted = orders.Admit(order.value("fencing_token", std::uint64_t{0}));
  if (admitted) {
    return true;
  }
  RespondError(exchange, {409, "conflict", "stale_fencing_token",
                          "highest token seen: " + std::to_string(admitted.Error().highest),
                          std::nullopt, "not_run"});
  return false;
}

std::string RenderState(const ModelState& state) {
  return json{{"model", state.model},       {"version", state.version},
              {"adapters", state.adapters}, {"role", state.role},
              {"draining", state.draining}, {"fencing_token", state.fencing_token},
              {"orders", state.orders}}
      .dump();
}

}  // namespace

EngineAdmin::EngineAdmin(std::shared_ptr<EngineCore> core) : core(std::move(core)) {}

void EngineAdmin::Register(framework::HttpRouter& router) {
  router.Add("GET", "/health",
             [](const Exchange& exchange) { RespondJson(*exchange, 200, R"({"state":"ready"})"); });
  router.Add("GET", "/load", [this](const Exchange& exchange) {
    RespondJson(*exchange, 200, RenderLoad(this->core->ReportLoad()));
  });
  router.Add("GET", "/v1/models", [this](const Exchange& exchange) { this->ListModels(exchange); });
  router.Add("GET", "/admin/state",
             [this](const Exchange& exchange) { this->ReportState(exchange); });
  router.Add("POST", "/admin/load", [this](const Exchange& exchange) { this->Load(exchange); });
  router.Add("POST", "/admin/drain",
             [this](const Exchange& exchange) { this->SetDraining(exchange, true); });
  router.Add("POST", "/admin/undrain",
             [this](const Exchange& exchange) { this->SetDraining(exchange, false); });
  router.Add("POST", "/standin/faults",
             [this](const Exchange& exchange) { this->SetFaults(exchange); });
  router.Add("GET", "/events",
             [this](const Exchange& exchange) { this->ReportCacheEvents(exchange); });
  router.Add("GET", "/kv/export",
             [this](const Exchange& exchange) { this->ExportCache(exchange); });
  router.Add("POST", "/kv/import",
             [this](const Exchange& exchange) { this->ImportCache(exchange); });
  router.Add("GET", "/standin/stats", [this](const Exchange& exchange) {
    RespondJson(*exchange, 200, this->core->Stats().Render());
  });
}

void EngineAdmin::ListModels(const Exchange& exchange) {
  const ModelState& state = this->core->Orders().State();
  const auto model = [&](const std::string& id) {
    return json{{"id", id},
                {"object", "model"},
                {"created", 0},
                {"owned_by", this->core->Options().service},
                {"version", state.version}};
  };
  json models = json::array();
  if (!state.model.empty()) {
    models.push_back(model(state.model));
  }
  for (const std::string& adapter : state.adapters) {
    models.push_back(model(state.model + ":" + adapter));
  }
  RespondJson(*exchange, 200, json{{"object", "list"}, {"data", models}}.dump());
}

void EngineAdmin::ReportState(const Exchange& exchange) {
  RespondJson(*exchange, 200, RenderState(this->core->Orders().State()));
}

void EngineAdmin::Load(const Exchange& exchange) {
  const auto order = ParseObject(*exchange);
  if (!order) {
    return;
  }
  try {
    ModelState next = this->core->Orders().State();
    next.model = order->value("model", next.model);
    next.version = order->value("version", next.version);
    next.adapters = order->value("adapters", next.adapters);
    next.role = order->value("role", next.role);
    if (!AdmitOrder(*exchange, this->core->Orders(), *order)) {
      return;
    }
    this->core->SetLoading(true);
    this->load_timer = this->core->Timers().After(
        this->core->Options().load_time, [this, exchange, next = std::move(next)] {
          ModelState& state = this->core->Orders().State();
          state.model = next.model;
          state.version = next.version;
          state.adapters = next.adapters;
          state.role = next.role;
          this->core->SetLoading(false);
          this->ReportState(exchange);
        });
  } catch (const json::exception& error) {
    RespondInvalid(*exchange, error);
  }
}

void EngineAdmin::SetDraining(const Exchange& exchange, bool draining) {
  const auto order = ParseObject(*exchange);
  if (!order) {
    return;
  }
  try {
    if (!AdmitOrder(*exchange, this->core->Orders(), *order)) {
      return;
    }
    this->core->Orders().State().draining = draining;
    this->core->RecordLoad();
    this->ReportState(exchange);
  } catch (const json::exception& error) {
    RespondInvalid(*exchange, error);
  }
}

void EngineAdmin::SetFaults(const Exchange& exchange) {
  const auto order = ParseObject(*exchange);
  if (!order) {
    return;
  }
  try {
    FaultPlan plan = this->core->Faults();
    plan.fail_next = order->value("fail_next", plan.fail_next);
    plan.hang_next = order->value("hang_next", plan.hang_next);
    plan.refuse_next = order->value("refuse_next", plan.refuse_next);
    plan.cut_after_tokens = order->value("cut_after_tokens", plan.cut_after_tokens);
    plan.cut_next = order->value("cut_next", plan.cut_next);
    plan.slow_factor = order->value("slow_factor", plan.slow_factor);
    this->core->SetFaults(plan);
    RespondJson(*exchange, 200, "{}");
  } catch (const json::exception& error) {
    RespondInvalid(*exchange, error);
  }
}

void EngineAdmin::ReportCacheEvents(const Exchange& exchange) {
  const std::string text = exchange->Query("after").value_or("0");
  std::uint64_t after = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), after);
  if (error != std::errc() || end != text.data() + text.size()) {
    RespondError(*exchange, {400, "invalid_request_error", "invalid_value",
                             "`after` must be a sequence number", std::nullopt, "not_run"});
    return;
  }
  RespondJson(*exchange, 200, this->core->RenderCacheEvents(after));
}

void EngineAdmin::ExportCache(const Exchange& exchange) {
  const std::string key = exchange->Query("prefix").value_or("");
  const auto prefix = ParsePrefixKey(key);
  if (!prefix || !this->core->Cache().Contains(*prefix)) {
    RespondError(*exchange, {404, "invalid_request_error", "not_cached",
                             "the prefix is not in the cache", std::nullopt, "not_run"});
    return;
  }
  const ModelState& state = this->core->Orders().State();
  RespondJson(*exchange, 200,
              json{{"model", state.model}, {"version", state.version}, {"prefix", key}}.dump());
}

void EngineAdmin::ImportCache(const Exchange& exchange) {
  const auto exported = ParseObject(*exchange);
  if (!exported) {
    return;
  }
  try {
    const ModelState& state = this->core->Orders().State();
    const auto prefix = ParsePrefixKey(exported->at("prefix").get<std::string>());
    if (!prefix || exported->at("model") != state.model ||
        exported->at("version") != state.version) {
      RespondError(*exchange, {409, "conflict", "other_model", "the cache belongs to another model",
                               std::nullopt, "not_run"});
      return;
    }
    this->core->Cache().Touch(*prefix);
    RespondJson(*exchange, 200, "{}");
  } catch (const json::exception& error) {
    RespondInvalid(*exchange, error);
  }
}

}  // namespace lentilhead::standin
