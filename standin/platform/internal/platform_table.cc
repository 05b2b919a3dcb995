#include <glib.h>

#include <nlohmann/json.hpp>

#include "standin/platform/internal/table_path.h"
#include "standin/platform/platform_server.h"

namespace lentilhead::standin {

namespace {

using Exchange = std::shared_ptr<framework::HttpExchange>;

/// Characters that the simulated table service forbids in keys.
constexpr std::string_view kForbiddenKeyCharacters = "/\\#?";

constexpr std::size_t kMaxValueBytes = 64 << 10;

void Refuse(const Exchange& exchange, int status, const char* code) {
  if (exchange == nullptr) {
    return;
  }
  const nlohmann::json body = {
      {"odata.error", {{"code", code}, {"message", {{"lang", "en-US"}, {"value", code}}}}}};
  exchange->Respond(status, "application/json", body.dump());
}

void AnswerWrite(const Exchange& exchange, const TableResult& result) {
  switch (result.status) {
    case TableStatus::kNotFound:
      return Refuse(exchange, 404, "ResourceNotFound");
    case TableStatus::kExists:
      return Refuse(exchange, 409, "EntityAlreadyExists");
    case TableStatus::kEtagMismatch:
      return Refuse(exchange, 412, "UpdateConditionNotSatisfied");
    case TableStatus::kDone:
      break;
  }
  if (exchange == nullptr) {
    return;
  }
  if (!result.etag.empty()) {
    exchange->SetHeader("ETag", result.etag);
  }
  exchange->Respond(204, "application/json", "");
}

nlohmann::json RenderEntity(const TableEntity& entity) {
  return {{"odata.etag", entity.etag},
          {"PartitionKey", entity.partition},
          {"RowKey", entity.key},
          {"Value", entity.value}};
}

std::string StatisticName(const char* operation, const std::string& partition) {
  const std::string prefix = partition.substr(0, partition.find_first_of(":~-"));
  return std::string("table ").append(operation).append(" ").append(prefix);
}

bool IsValidKey(const std::string& key) {
  return key.find_first_of(kForbiddenKeyCharacters) == std::string::npos;
}

}  // namespace

void PlatformServer::HandleTable(const Exchange& exchange) {
  const bool is_entity = exchange->Path().find("(P") != std::string_view::npos;
  const std::string_view method = exchange->Method();
  if (method == "POST" && !is_entity) {
    return this->InsertEntity(exchange);
  }
  if (method == "GET") {
    return is_entity ? this->ReadEntity(exchange) : this->QueryEntities(exchange);
  }
  if (is_entity && (method == "PUT" || method == "PATCH" || method == "DELETE")) {
    return this->ChangeEntity(exchange);
  }
  Refuse(exchange, 405, "UnsupportedHttpVerb");
}

void PlatformServer::InsertEntity(const Exchange& exchange) {
  const auto body = nlohmann::json::parse(exchange->Body(), nullptr, false);
  if (!body.is_object()) {
    return Refuse(exchange, 400, "InvalidInput");
  }
  const std::string partition = body.value("PartitionKey", "");
  const std::string key = body.value("RowKey", "");
  const std::string value = body.value("Value", "");
  if (!IsValidKey(partition) || !IsValidKey(key)) {
    return Refuse(exchange, 400, "OutOfRangeInput");
  }
  if (value.size() > kMaxValueBytes) {
    return Refuse(exchange, 400, "PropertyValueTooLarge");
  }
  this->Serve(this->table_service, true, exchange, [=, this](const Exchange& answered) {
    this->stats[StatisticName("insert", partition)] += 1;
    AnswerWrite(answered, this->table.Insert(partition, key, value));
  });
}

void PlatformServer::ChangeEntity(const Exchange& exchange) {
  const auto keys = internal::ReadEntityPath(exchange->Path());
  const auto etag = exchange->Header("If-Match");
  if (!keys || !etag) {
    return Refuse(exchange, 400, "InvalidInput");
  }
  if (exchange->Method() == "DELETE") {
    this->Serve(this->table_service, true, exchange, [=, this](const Exchange& answered) {
      this->stats[StatisticName("delete", keys->partition)] += 1;
      AnswerWrite(answered, this->table.Delete(keys->partition, keys->key, *etag));
    });
    return;
  }
  const auto body = nlohmann::json::parse(exchange->Body(), nullptr, false);
  if (!body.is_object()) {
    return Refuse(exchange, 400, "InvalidInput");
  }
  const std::string value = body.value("Value", "");
  if (value.size() > kMaxValueBytes) {
    return Refuse(exchange, 400, "PropertyValueTooLarge");
  }
  this->Serve(this->table_service, true, exchange, [=, this](const Exchange& answered) {
    this->stats[StatisticName("replace", keys->partition)] += 1;
    AnswerWrite(answered, this->table.Replace(keys->partition, keys->key, *etag, value));
  });
}

void PlatformServer::ReadEntity(const Exchange& exchange) {
  const auto keys = internal::ReadEntityPath(exchange->Path());
  if (!keys) {
    return Refuse(exchange, 400, "InvalidInput");
  }
  this->Serve(this->table_service, false, exchange, [=, this](const Exchange& answered) {
    this->stats[StatisticName("read", keys->partition)] += 1;
    const auto entity = this->table.Get(keys->partition, keys->key);
    if (!entity) {
      return Refuse(answered, 404, "ResourceNotFound");
    }
    answered->SetHeader("ETag", entity->etag);
    answered->Respond(200, "application/json", RenderEntity(*entity).dump());
  });
}

void PlatformServer::QueryEntities(const Exchange& exchange) {
  const auto partition = internal::ReadPartitionFilter(exchange->Query("$filter").value_or(""));
  if (!partition) {
    return Refuse(exchange, 400, "InvalidInput");
  }
  const std::string first = internal::Unescape(exchange->Query("NextRowKey").value_or(""));
  this->Serve(this->table_service, false, exchange, [=, this](const Exchange& answered) {
    this->stats[StatisticName("query", *partition)] += 1;
    auto page = this->table.Query(*partition, first, this->options.page_size + 1);
    if (page.size() > this->options.page_size) {
      char* next = g_uri_escape_string(page.back().key.c_str(), nullptr, FALSE);
      answered->SetHeader("x-ms-continuation-NextPartitionKey", "same");
      answered->SetHeader("x-ms-continuation-NextRowKey", next);
      g_free(next);
      page.pop_back();
    }
    nlohmann::json body = {{"value", nlohmann::json::array()}};
    for (const TableEntity& entity : page) {
      body["value"].push_back(RenderEntity(entity));
    }
    answered->Respond(200, "application/json", body.dump());
  });
}

}  // namespace lentilhead::standin
