#include "peers/cluster_view.h"

#include <nlohmann/json.hpp>

#include "net/log_line.h"
#include "platform/config_codec.h"
#include "platform/endpoint_codec.h"

namespace lentilhead::peers {

namespace {

using nlohmann::json;

std::string_view StateOf(const std::optional<gateway::EndpointEntry>& entry) {
  if (!entry) {
    return "unreadable";
  }
  return entry->is_draining ? "draining" : "ready";
}

}  // namespace

void ClusterView::AdoptConfig(const std::string& text, std::string_view source) {
  platform::ConfigOutcome outcome = platform::DecodeConfig(text);
  if (const auto* error = std::get_if<platform::DecodeError>(&outcome)) {
    net::LogLine("config_unreadable")
        .With("source", source)
        .With("field", error->field)
        .With("reason", error->reason);
    return;
  }
  auto config = std::make_shared<const gateway::ServingConfig>(
      std::move(std::get<gateway::ServingConfig>(outcome)));
  const std::int64_t before = this->gateway.routes.Version();
  const std::int64_t version = config->version;
  const std::size_t routes = config->routes.size();
  if (!this->gateway.routes.Adopt(std::move(config))) {
    return;
  }
  this->config_text = text;
  net::LogLine("config_adopted")
      .With("version", version)
      .With("before", before)
      .With("routes", routes)
      .With("source", source);
}

void ClusterView::PutEndpoint(const rowstore::Row& row, net::SteadyTime keep_until) {
  const std::string& id = row.key.key;
  const auto listed = this->endpoint_values.find(id);
  if (row.removed) {
    if (listed != this->endpoint_values.end()) {
      this->endpoint_values.erase(listed);
      net::LogLine("endpoint_removed")
          .With("endpoint", id)
          .With("version", row.version)
          .With("grace_ms", net::ToMilliseconds(keep_until - net::Now()).count());
    }
    this->gateway.registry.Remove(id, keep_until);
    return;
  }
  const std::optional<gateway::EndpointEntry> entry = platform::DecodeEndpoint(row);
  const auto before = this->gateway.registry.All().find(id);
  const bool is_new_or_changed = before == this->gateway.registry.All().end() ||
                                 (entry && before->second->entry.is_draining != entry->is_draining);
  this->endpoint_values[id] = row.value;
  if (entry) {
    this->gateway.registry.Put(*entry);
  } else {
    this->gateway.registry.Remove(id, net::Now());
  }
  if (is_new_or_changed) {
    net::LogLine("endpoint_listed")
        .With("endpoint", id)
        .With("state", StateOf(entry))
        .With("version", row.version);
  }
}

void ClusterView::ReplaceEndpoints(const std::vector<rowstore::Row>& rows,
                                   rowstore::Version version, net::SteadyTime keep_missing_until,
                                   std::string_view source) {
  std::map<std::string, std::string> missing = this->endpoint_values;
  for (const rowstore::Row& row : rows) {
    missing.erase(row.key.key);
    this->PutEndpoint(row, keep_missing_until);
  }
  for (const auto& [id, value] : missing) {
    this->PutEndpoint({{"", "", id}, "", version, true}, keep_missing_until);
  }
  this->endpoints_version = version;
  if (!this->gateway.endpoints_loaded) {
    this->gateway.endpoints_loaded = true;
    net::LogLine("endpoints_loaded")
        .With("count", rows.size())
        .With("version", version)
        .With("source", source);
  }
  this->gateway.admission.Dispatch();
}

void ClusterView::ChangeEndpoints(const std::vector<rowstore::Row>& rows, rowstore::Version version,
                                  net::SteadyTime keep_removed_until) {
  for (const rowstore::Row& row : rows) {
    this->PutEndpoint(row, keep_removed_until);
  }
  this->endpoints_version = version;
  this->gateway.admission.Dispatch();
}

std::string ClusterView::Encode() const {
  json endpoints = json::object();
  for (const auto& [id, value] : this->endpoint_values) {
    endpoints[id] = json::binary({value.begin(), value.end()});
  }
  const json view = {{"config", this->config_text},
                     {"version", this->endpoints_version},
                     {"known", this->gateway.endpoints_loaded},
                     {"endpoints", std::move(endpoints)}};
  const std::vector<std::uint8_t> bytes = json::to_msgpack(view);
  return {bytes.begin(), bytes.end()};
}

void ClusterView::AdoptEncoded(const std::string& text, bool include_endpoints) {
  const json view = json::from_msgpack(text, true, false);
  if (!view.is_object() || !view.contains("config") || !view["config"].is_string()) {
    net::LogLine("peer_view_unreadable").With("bytes", text.size());
    return;
  }
  if (const auto config = view["config"].get<std::string>(); !config.empty()) {
    this->AdoptConfig(config, "peer");
  }
  const rowstore::Version version = view.value("version", rowstore::Version{0});
  if (!include_endpoints || !view.value("known", false) || version <= this->endpoints_version) {
    return;
  }
  std::vector<rowstore::Row> rows;
  for (const auto& [id, value] : view["endpoints"].items()) {
    if (value.is_binary()) {
      const json::binary_t& bytes = value.get_binary();
      rows.push_back({{"", "", id}, std::string(bytes.begin(), bytes.end()), version, false});
    }
  }
  this->ReplaceEndpoints(rows, version, net::Now(), "peer");
}

}  // namespace lentilhead::peers
