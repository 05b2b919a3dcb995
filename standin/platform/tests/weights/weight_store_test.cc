#include <doctest/doctest.h>

#include "standin/platform/platform_fixture.h"

namespace lentilhead::standin {

namespace {

constexpr std::size_t kSizeBytes = 100'000;

struct Download {
  std::size_t received = 0;
  bool ended = false;
  std::string failure;  ///< Empty unless the download failed.
  framework::HttpCall call;

  void Start(PlatformFixture& fixture) {
    framework::HttpStreamHandlers handlers;
    handlers.on_data = [this](std::string_view data) { this->received += data.size(); };
    handlers.on_end = [this](const auto& failure) {
      this->ended = true;
      if (failure) {
        this->failure = std::string(framework::NameOf(failure->kind)) + ": " + failure->detail;
      }
    };
    this->call =
        fixture.http.Stream({.url = fixture.server.WeightUrl() + "/m/1"}, std::move(handlers));
  }
};

}  // namespace

TEST_CASE("concurrent weight downloads share the rate and complete") {
  PlatformFixture fixture({.weight_bytes_per_second = 1e6, .weight_size = kSizeBytes});
  Download first;
  Download second;
  first.Start(fixture);
  second.Start(fixture);
  REQUIRE(
      PlatformFixture::RunUntil([&] { return first.received > kSizeBytes / 2 || first.ended; }));
  REQUIRE(first.failure == "");
  CHECK(second.received > kSizeBytes / 10);
  REQUIRE(PlatformFixture::RunUntil([&] { return first.ended && second.ended; }));
  CHECK(first.failure == "");
  CHECK(second.failure == "");
  CHECK(first.received == kSizeBytes);
  CHECK(second.received == kSizeBytes);
}

TEST_CASE("a cancelled download does not stop the others from completing") {
  PlatformFixture fixture({.weight_bytes_per_second = 1e6, .weight_size = kSizeBytes});
  Download first;
  Download second;
  first.Start(fixture);
  second.Start(fixture);
  REQUIRE(PlatformFixture::RunUntil([&] { return first.received > 0 || first.ended; }));
  REQUIRE(first.failure == "");
  first.call.Cancel();
  REQUIRE(PlatformFixture::RunUntil([&] { return second.ended; }));
  CHECK(second.failure == "");
  CHECK(second.received == kSizeBytes);
}

}  // namespace lentilhead::standin
