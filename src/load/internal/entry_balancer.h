#pragma once

#include <string>
#include <vector>

#include "framework/http_client.h"
#include "framework/timer_service.h"

namespace lentilhead::load::internal {

/// Chooses entry instances as the platform's load balancer does: round robin among the instances
/// whose last health check passed.
class EntryBalancer {
 public:
  EntryBalancer(std::vector<std::string> entry_urls, framework::HttpClient& http,
                framework::TimerService& timers);
  EntryBalancer(const EntryBalancer&) = delete;
  EntryBalancer& operator=(const EntryBalancer&) = delete;

  /// Returns the URL of the next healthy instance, or of the next instance if none is healthy.
  [[nodiscard]] const std::string& NextUrl();

 private:
  struct Entry {
    std::string url;
    bool healthy = true;
    framework::HttpCall check;
  };

  void CheckAll();

  framework::HttpClient& http;
  std::vector<Entry> entries;
  std::size_t next = 0;
  framework::TimerSubscription check_timer;
};

}  // namespace lentilhead::load::internal
