#include "datastore/object_store_client.h"

#include <utility>

#include "datastore/internal/platform_calls.h"
#include "datastore/internal/platform_errors.h"

namespace lentilhead::datastore {

using framework::Done;
using framework::HttpRequest;
using framework::HttpResponse;
using framework::Reply;
using internal::CallKind;

class ObjectStoreClient::State : public internal::PlatformCalls {
 public:
  State(const PlatformSettings& settings, framework::HttpClient& http, framework::Metrics& metrics)
      : PlatformCalls(settings, http), metrics(metrics) {}

  void SendFor(const char* operation, CallKind kind, HttpRequest request,
               std::function<void(Reply<HttpResponse, ObjectError>)> handler);

  [[nodiscard]] std::string UrlOf(const std::string& key) const {
    return this->Settings().object_url + "/" + internal::EscapeForUrl(key, "/");
  }

 private:
  framework::Metrics& metrics;
};

void ObjectStoreClient::State::SendFor(
    const char* operation, CallKind kind, HttpRequest request,
    std::function<void(Reply<HttpResponse, ObjectError>)> handler) {
  const auto error_of = [kind](const auto& failure) {
    return internal::ObjectErrorOf(failure, kind);
  };
  this->SendCounted<ObjectError>(this->metrics, operation, std::move(request), error_of,
                                 std::move(handler));
}

ObjectStoreClient::ObjectStoreClient(const PlatformSettings& settings, framework::HttpClient& http,
                                     framework::Metrics& metrics)
    : state(std::make_shared<State>(settings, http, metrics)) {}

ObjectStoreClient::~ObjectStoreClient() = default;

void ObjectStoreClient::Put(const std::string& key, std::string body, DoneHandler handler) {
  HttpRequest request{.method = "PUT",
                      .url = this->state->UrlOf(key),
                      .content_type = "application/octet-stream",
                      .body = std::move(body)};
  this->state->SendFor("object_put", CallKind::kWrite, std::move(request),
                       [handler = std::move(handler)](auto reply) {
                         if (!reply) {
                           handler(reply.Error());
                           return;
                         }
                         handler(Done{});
                       });
}

void ObjectStoreClient::Get(const std::string& key, BodyHandler handler) {
  this->state->SendFor("object_get", CallKind::kRead,
                       {.method = "GET", .url = this->state->UrlOf(key)},
                       [handler = std::move(handler)](auto reply) {
                         if (!reply) {
                           handler(reply.Error());
                           return;
                         }
                         handler(std::move(reply.Value().body));
                       });
}

void ObjectStoreClient::Delete(const std::string& key, DoneHandler handler) {
  this->state->SendFor(
      "object_delete", CallKind::kWrite, {.method = "DELETE", .url = this->state->UrlOf(key)},
      [handler = std::move(handler)](auto reply) {
        const bool missing = !reply && reply.Error().kind == ObjectErrorKind::kNotFound;
        if (!reply && !missing) {
          handler(reply.Error());
          return;
        }
        handler(Done{});
      });
}

}  // namespace lentilhead::datastore
