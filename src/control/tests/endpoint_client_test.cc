#include "control/internal/endpoint_client.h"

#include <doctest/doctest.h>

#include "standin/engine/repeating_server.h"
#include "standin/platform/platform_fixture.h"

namespace lentilhead::control::internal {

TEST_CASE("the state before, sent again late by an endpoint, is not taken for its next state") {
  standin::PlatformFixture fixture;
  int asked = 0;
  standin::RepeatingServer server([&](const std::string&, const std::string&) {
    asked += 1;
    return "{\"model\":\"m\",\"version\":\"" + std::to_string(asked) + "\"}";
  });
  EndpointClient client(fixture.http, std::chrono::seconds(5), std::chrono::seconds(5));
  const ManagedEndpoint endpoint{.name = "repeating", .address = server.Address()};
  for (int order = 1; order <= 4; ++order) {
    const auto state = standin::PlatformFixture::Await<std::optional<ObservedState>>(
        [&](auto handler) { client.Observe(endpoint, handler); });
    REQUIRE(state.has_value());
    CHECK(state->version == std::to_string(order));
  }
}

}  // namespace lentilhead::control::internal
