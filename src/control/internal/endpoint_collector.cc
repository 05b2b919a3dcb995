#include "control/internal/endpoint_collector.h"

#include <utility>

#include "endpoint/endpoint_request.h"

namespace lentilhead::control::internal {

namespace {

constexpr std::chrono::milliseconds kLoadReportTimeout{1'000};

}  // namespace

EndpointCollector::EndpointCollector(datastore::InstanceListClient& list,
                                     framework::HttpClient& http, Handler handler)
    : list(list), http(http), handler(std::move(handler)) {}

void EndpointCollector::Collect(const std::vector<std::string>& services) {
  this->pending_requests = 1;
  for (const std::string& service : services) {
    this->pending_requests += 1;
    this->list.Fetch(service, [self = shared_from_this(), service](auto reply) {
      if (reply) {
        self->OnListed(service, reply.Value());
      } else {
        self->unlisted.push_back(service);
      }
      self->OnRequestEnded();
    });
  }
  this->OnRequestEnded();
}

void EndpointCollector::OnListed(const std::string& service,
                                 const std::vector<datastore::ListedInstance>& listed) {
  for (const datastore::ListedInstance& endpoint : listed) {
    const bool live = endpoint.state == datastore::ListedState::kLive;
    this->endpoints.push_back({{"name", endpoint.name},
                               {"service", service},
                               {"zone", endpoint.zone},
                               {"address", endpoint.address},
                               {"listed", live ? "live" : "leaving"},
                               {"reachable", false}});
    this->RequestLoad(this->endpoints.size() - 1, endpoint.address);
  }
}

void EndpointCollector::RequestLoad(std::size_t index, const std::string& address) {
  framework::HttpRequest request = endpoint::RequestTo(address, "/load");
  request.timeout = kLoadReportTimeout;
  request.idle_timeout = kLoadReportTimeout;
  this->pending_requests += 1;
  this->calls.push_back(
      this->http.Send(std::move(request), [self = shared_from_this(), index](auto reply) {
        if (reply && reply.Value().head.status == 200) {
          nlohmann::json load = nlohmann::json::parse(reply.Value().body, nullptr, false);
          self->endpoints[index]["reachable"] = true;
          self->endpoints[index]["load"] = load.is_discarded() ? nlohmann::json() : load;
        }
        self->OnRequestEnded();
      }));
}

void EndpointCollector::OnRequestEnded() {
  this->pending_requests -= 1;
  if (this->pending_requests == 0) {
    this->handler(std::move(this->endpoints), std::move(this->unlisted));
  }
}

}  // namespace lentilhead::control::internal
