#include "online/internal/request_run.h"

#include <doctest/doctest.h>

#include "framework/hash.h"
#include "online/internal/repeatable_submission.h"
#include "standin/engine/repeating_server.h"
#include "standin/platform/platform_fixture.h"

namespace lentilhead::online::internal {

namespace {

constexpr const char* kService = "profiles";

endpoint::EndpointSettings Services() {
  endpoint::EndpointSettings settings;
  settings.services.push_back({.name = kService, .kind = endpoint::ServiceKind::kPlain});
  settings.list_period = std::chrono::milliseconds(20);
  return settings;
}

/// What a worker needs to send requests to endpoints that the platform lists.
struct Worker {
  standin::PlatformFixture platform;
  OnlineSettings settings;
  datastore::TableClient table{this->platform.settings, this->platform.http,
                               this->platform.metrics};
  datastore::WriteBudget writes{1e6};
  datastore::ResolvedWriter writer{framework::RandomId(), this->table, this->writes,
                                   *this->platform.timers, this->platform.metrics};
  datastore::InstanceListClient list{this->platform.settings, this->platform.http};
  endpoint::EndpointSettings services = Services();
  endpoint::EndpointDirectory directory{this->services,
                                        "instance",
                                        "z",
                                        this->list,
                                        this->platform.http,
                                        *this->platform.timers,
                                        this->platform.metrics};
  OnlineMetrics metrics{this->platform.metrics};
  RetryBudget budget{0, 0};
  WorkerResources resources{this->settings,         this->directory, this->platform.http,
                            *this->platform.timers, this->table,     this->writer,
                            this->metrics,          this->budget};

  /// Sends a request and waits until it has ended. @return body of the whole answer.
  std::string Send(const std::string& body) {
    OutboundRequest request;
    request.request_id = body;
    request.method = "POST";
    request.path = "/echo";
    request.content_type = "text/plain";
    request.body = body;
    request.route.service = kService;
    AttemptPolicy policy =
        DefaultPolicy(this->settings, this->platform.timers->Now() + std::chrono::seconds(10));
    policy.engine = false;
    std::string answer;
    bool ended = false;
    const auto run = std::make_shared<RequestRun>(
        this->resources, std::move(request), policy,
        [&](const AttemptEffect& effect) {
          if (const auto* whole = std::get_if<WholeAnswer>(&effect)) {
            answer = whole->body;
          }
        },
        [&] { ended = true; });
    run->Start();
    standin::PlatformFixture::RunUntil([&] { return ended; });
    return answer;
  }
};

}  // namespace

TEST_CASE("a caller does not get the answer of another, sent again late by an endpoint") {
  Worker worker;
  standin::RepeatingServer endpoint([](const std::string& path, const std::string& body) {
    return path == "/load" ? R"({"running":0,"waiting":0,"slots":8})"
                           : "\"answer of " + body + "\"";
  });
  worker.platform.server.ChangeList(kService, {"repeating", endpoint.Address(), "z"});
  worker.directory.Start();
  REQUIRE(standin::PlatformFixture::RunUntil(
      [&] { return worker.directory.ReportOf("repeating").has_value(); }));
  for (int number = 0; number < 8; ++number) {
    const std::string body = "request " + std::to_string(number);
    CHECK(worker.Send(body) == "\"answer of " + body + "\"");
  }
}

}  // namespace lentilhead::online::internal
