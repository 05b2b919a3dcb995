#include "control/internal/endpoint_collection.h"

#include <utility>

namespace lentilhead::control::internal {

namespace {

constexpr std::chrono::milliseconds kLoadTimeout{1'000};

}  // namespace

EndpointCollection::EndpointCollection(datastore::InstanceListClient& list,
                                       framework::HttpClient& http, Handler handler)
    : list(list), http(http), handler(std::move(handler)) {}

void EndpointCollection::Collect(const std::vector<std::string>& services) {
  this->running = 1;
  for (const std::string& service : services) {
    this->running += 1;
    this->list.Fetch(service, [self = shared_from_this(), service](auto reply) {
      if (reply) {
        self->OnListed(service, reply.Value());
      } else {
        self->unlisted.push_back(service);
      }
      self->EndOne();
    });
  }
  this->EndOne();
}

void EndpointCollection::OnListed(const std::string& service,
                                  const std::vector<datastore::ListedInstance>& listed) {
  for (const datastore::ListedInstance& endpoint : listed) {
    const bool live = endpoint.state == datastore::ListedState::kLive;
    this->endpoints.push_back({{"name", endpoint.name},
                               {"service", service},
                               {"zone", endpoint.zone},
                               {"address", endpoint.address},
                               {"listed", live ? "live" : "leaving"},
                               {"reachable", false}});
    this->AskForLoad(this->endpoints.size() - 1, endpoint.address);
  }
}

void EndpointCollection::AskForLoad(std::size_t index, const std::string& address) {
  framework::HttpRequest request;
  request.url = "http://" + address + "/load";
  request.timeout = kLoadTimeout;
  request.idle_timeout = kLoadTimeout;
  this->running += 1;
  this->calls.push_back(
      this->http.Send(std::move(request), [self = shared_from_this(), index](auto reply) {
        if (reply && reply.Value().head.status == 200) {
          nlohmann::json load = nlohmann::json::parse(reply.Value().body, nullptr, false);
          self->endpoints[index]["reachable"] = true;
          self->endpoints[index]["load"] = load.is_discarded() ? nlohmann::json() : load;
        }
        self->EndOne();
      }));
}

void EndpointCollection::EndOne() {
  this->running -= 1;
  if (this->running == 0) {
    this->handler(std::move(this->endpoints), std::move(this->unlisted));
  }
}

}  // namespace lentilhead::control::internal
