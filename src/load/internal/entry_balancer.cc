#include "load/internal/entry_balancer.h"

namespace lentilhead::load::internal {

namespace {

constexpr std::chrono::milliseconds kCheckPeriod{500};
constexpr std::chrono::milliseconds kCheckTimeout{400};
constexpr int kStatusOk = 200;

}  // namespace

EntryBalancer::EntryBalancer(std::vector<std::string> entry_urls, framework::HttpClient& http,
                             framework::TimerService& timers)
    : http(http) {
  this->entries.reserve(entry_urls.size());
  for (std::string& url : entry_urls) {
    this->entries.push_back(Entry{std::move(url), true, {}});
  }
  this->check_timer = timers.Every(kCheckPeriod, [this] { this->CheckAll(); });
}

const std::string& EntryBalancer::NextUrl() {
  for (std::size_t step = 0; step < this->entries.size(); ++step) {
    const Entry& entry = this->entries[this->next++ % this->entries.size()];
    if (entry.healthy) {
      return entry.url;
    }
  }
  return this->entries[this->next++ % this->entries.size()].url;
}

void EntryBalancer::CheckAll() {
  for (Entry& entry : this->entries) {
    framework::HttpRequest request;
    request.url = entry.url + "/health";
    request.timeout = kCheckTimeout;
    entry.check = this->http.Send(std::move(request), [&entry](const auto& reply) {
      entry.healthy = reply && reply.Value().head.status == kStatusOk;
    });
  }
}

}  // namespace lentilhead::load::internal
