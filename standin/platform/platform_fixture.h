#pragma once

#include <glib.h>

#include <memory>
#include <optional>
#include <utility>

#include "datastore/platform_settings.h"
#include "framework/http_client.h"
#include "framework/metrics.h"
#include "framework/timer_service.h"
#include "standin/platform/platform_server.h"

namespace lentilhead::standin {

/// Simulated platform on the test's main context, and the objects that its clients need.
class PlatformFixture {
 public:
  explicit PlatformFixture(PlatformServerOptions options = {})
      : timers(framework::TimerService::OnMainContext(nullptr)),
        server(std::move(options), *this->timers),
        http(*this->timers) {
    const framework::Result<std::uint16_t> port = this->server.Listen();
    if (!port) {
      std::abort();
    }
    this->settings.table_url = this->server.TableUrl();
    this->settings.object_url = this->server.ObjectUrl();
    this->settings.list_url = this->server.ListUrl();
  }

  /// Iterates the main context until a condition holds, at most kMaxIterations times.
  /// @return the condition at the end.
  template <class Predicate>
  static bool RunUntil(Predicate done) {
    for (int iteration = 0; iteration < kMaxIterations && !done(); ++iteration) {
      g_main_context_iteration(nullptr, TRUE);
    }
    return done();
  }

  /// Starts a call and waits for its reply. @param start receives the handler of the reply.
  template <class Reply, class Start>
  static Reply Await(Start start) {
    auto slot = std::make_shared<std::optional<Reply>>();
    start([slot](Reply reply) { *slot = std::move(reply); });
    RunUntil([&] { return slot->has_value(); });
    return std::move(**slot);
  }

  static constexpr int kMaxIterations = 1'000'000;

  std::unique_ptr<framework::TimerService> timers;
  PlatformServer server;
  framework::HttpClient http;
  framework::Metrics metrics;
  datastore::PlatformSettings settings;
};

}  // namespace lentilhead::standin
