#include "datastore/table_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "datastore/internal/key_codec.h"
#include "datastore/internal/platform_calls.h"
#include "datastore/internal/platform_errors.h"

namespace lentilhead::datastore {

using framework::Done;
using framework::HttpFailure;
using framework::HttpRequest;
using framework::HttpResponse;
using framework::Reply;
using internal::CallKind;
using internal::EscapeForUrl;

namespace {

constexpr const char* kEtagProperty = "odata.etag";

/// Quotes a string as OData does.
std::string Quote(const std::string& text) {
  std::string quoted = "'";
  for (const char letter : text) {
    quoted.append(letter == '\'' ? 2 : 1, letter);
  }
  return quoted.append("'");
}

std::string RenderEntity(const TableRow& row) {
  const nlohmann::json entity = {
      {"PartitionKey", internal::EncodeKey(row.partition)},
      {"RowKey", internal::EncodeKey(row.key)},
      {"Value", row.value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)}};
  return entity.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string StringOf(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/// Reads an entity. @param header_etag used if the entity has no etag of its own.
std::optional<TableRow> ReadEntity(const nlohmann::json& entity, const std::string& header_etag) {
  if (!entity.is_object()) {
    return std::nullopt;
  }
  TableRow row;
  row.partition = internal::DecodeKey(StringOf(entity, "PartitionKey"));
  row.key = internal::DecodeKey(StringOf(entity, "RowKey"));
  row.etag = header_etag.empty() ? StringOf(entity, kEtagProperty) : header_etag;
  row.value = nlohmann::json::parse(StringOf(entity, "Value"), nullptr, false);
  if (row.etag.empty() || !row.value.is_object()) {
    return std::nullopt;
  }
  return row;
}

}  // namespace

class TableClient::State : public internal::PlatformCalls {
 public:
  State(const PlatformSettings& settings, framework::HttpClient& http, framework::Metrics& metrics)
      : PlatformCalls(settings, http), metrics(metrics) {}

  void SendFor(const char* operation, CallKind kind, HttpRequest request,
               std::function<void(Reply<HttpResponse, TableError>)> handler);

  /// Reads the page that starts at a continuation and the pages after it.
  void QueryPage(const std::string& url, const std::string& continuation,
                 const std::shared_ptr<std::vector<TableRow>>& rows, RowsHandler handler);

  [[nodiscard]] std::string EntityUrl(const std::string& partition, const std::string& key) const {
    return this->Settings().table_url +
           "(PartitionKey=" + EscapeForUrl(Quote(internal::EncodeKey(partition)), "'") +
           ",RowKey=" + EscapeForUrl(Quote(internal::EncodeKey(key)), "'") + ")";
  }

 private:
  framework::Metrics& metrics;
};

void TableClient::State::SendFor(const char* operation, CallKind kind, HttpRequest request,
                                 std::function<void(Reply<HttpResponse, TableError>)> handler) {
  request.headers.emplace_back("Accept", "application/json;odata=fullmetadata");
  request.headers.emplace_back("x-ms-version", "2019-02-02");
  const auto error_of = [kind](const auto& failure) {
    return internal::TableErrorOf(failure, kind);
  };
  this->SendCounted<TableError>(this->metrics, operation, std::move(request), error_of,
                                std::move(handler));
}

namespace {

/// Turns the answer of a write into the stored row.
Reply<TableRow, TableError> StoredRowOf(TableRow row, Reply<HttpResponse, TableError> reply) {
  if (!reply) {
    return reply.Error();
  }
  const auto etag = reply.Value().head.Header("etag");
  if (!etag) {
    return TableError{TableErrorKind::kOutcomeUnknown, "the answer has no etag"};
  }
  row.etag = *etag;
  return row;
}

}  // namespace

TableClient::TableClient(const PlatformSettings& settings, framework::HttpClient& http,
                         framework::Metrics& metrics)
    : state(std::make_shared<State>(settings, http, metrics)) {}

TableClient::~TableClient() = default;

void TableClient::Get(const std::string& partition, const std::string& key, RowHandler handler) {
  HttpRequest request{.method = "GET", .url = this->state->EntityUrl(partition, key)};
  this->state->SendFor(
      "table_get", CallKind::kRead, std::move(request),
      [handler = std::move(handler)](Reply<HttpResponse, TableError> reply) {
        if (!reply) {
          handler(reply.Error());
          return;
        }
        const HttpResponse& response = reply.Value();
        auto row = ReadEntity(nlohmann::json::parse(response.body, nullptr, false),
                              response.head.Header("etag").value_or(""));
        if (!row) {
          handler(TableError{TableErrorKind::kInvalidAnswer, "the entity cannot be read"});
          return;
        }
        handler(*std::move(row));
      });
}

void TableClient::Query(const std::string& partition, RowsHandler handler) {
  const std::string filter = "PartitionKey eq " + Quote(internal::EncodeKey(partition));
  const std::string url = this->state->Settings().table_url + "()?$filter=" + EscapeForUrl(filter);
  this->state->QueryPage(url, "", std::make_shared<std::vector<TableRow>>(), std::move(handler));
}

void TableClient::State::QueryPage(const std::string& url, const std::string& continuation,
                                   const std::shared_ptr<std::vector<TableRow>>& rows,
                                   RowsHandler handler) {
  auto on_reply = [this, url, rows,
                   handler = std::move(handler)](Reply<HttpResponse, TableError> reply) {
    if (!reply) {
      handler(reply.Error());
      return;
    }
    const auto body = nlohmann::json::parse(reply.Value().body, nullptr, false);
    if (!body.is_object() || !body.contains("value") || !body["value"].is_array()) {
      handler(TableError{TableErrorKind::kInvalidAnswer, "the page cannot be read"});
      return;
    }
    for (const nlohmann::json& entity : body["value"]) {
      auto row = ReadEntity(entity, "");
      if (!row) {
        handler(TableError{TableErrorKind::kInvalidAnswer, "an entity cannot be read"});
        return;
      }
      rows->push_back(*std::move(row));
    }
    const auto& head = reply.Value().head;
    const auto next_partition = head.Header("x-ms-continuation-nextpartitionkey");
    if (next_partition) {
      const auto next_row = head.Header("x-ms-continuation-nextrowkey").value_or("");
      this->QueryPage(url,
                      "&NextPartitionKey=" + EscapeForUrl(*next_partition) +
                          "&NextRowKey=" + EscapeForUrl(next_row),
                      rows, handler);
      return;
    }
    std::sort(rows->begin(), rows->end(),
              [](const TableRow& left, const TableRow& right) { return left.key < right.key; });
    handler(std::move(*rows));
  };
  this->SendFor("table_query", CallKind::kRead, {.method = "GET", .url = url + continuation},
                std::move(on_reply));
}

void TableClient::Insert(const TableRow& row, RowHandler handler) {
  HttpRequest request{.method = "POST",
                      .url = this->state->Settings().table_url,
                      .headers = {{"Prefer", "return-no-content"}},
                      .content_type = "application/json",
                      .body = RenderEntity(row)};
  this->state->SendFor("table_insert", CallKind::kWrite, std::move(request),
                       [row, handler = std::move(handler)](auto reply) {
                         handler(StoredRowOf(row, std::move(reply)));
                       });
}

void TableClient::Replace(const TableRow& row, RowHandler handler) {
  // The merge of an entity's only property equals its replacement. Unlike PUT, libsoup never sends
  // PATCH again by itself, which would turn an applied write with a lost answer into a conflict.
  HttpRequest request{.method = "PATCH",
                      .url = this->state->EntityUrl(row.partition, row.key),
                      .headers = {{"If-Match", row.etag}},
                      .content_type = "application/json",
                      .body = RenderEntity(row)};
  this->state->SendFor("table_replace", CallKind::kWrite, std::move(request),
                       [row, handler = std::move(handler)](auto reply) {
                         handler(StoredRowOf(row, std::move(reply)));
                       });
}

void TableClient::Delete(const std::string& partition, const std::string& key,
                         const std::string& etag, DoneHandler handler) {
  HttpRequest request{.method = "DELETE",
                      .url = this->state->EntityUrl(partition, key),
                      .headers = {{"If-Match", etag}}};
  this->state->SendFor("table_delete", CallKind::kWrite, std::move(request),
                       [handler = std::move(handler)](auto reply) {
                         if (!reply) {
                           handler(reply.Error());
                           return;
                         }
                         handler(Done{});
                       });
}

}  // namespace lentilhead::datastore
