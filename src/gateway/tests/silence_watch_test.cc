#include "gateway/internal/silence_watch.h"

#include <doctest/doctest.h>

namespace lentilhead::gateway::internal {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a wait for a silent endpoint goes on until another endpoint can take over") {
  net::asio::io_context loop{1};
  int asked = 0;
  SilenceWatch watch(loop.get_executor(), [&asked] { return ++asked == 3; });
  watch.Start(net::Now());
  loop.run_for(milliseconds(1000));
  CHECK(asked == 3);
  CHECK(watch.Stop());
  CHECK_FALSE(watch.Stop());
}

TEST_CASE("an endpoint that answers in time is not given up") {
  net::asio::io_context loop{1};
  int asked = 0;
  SilenceWatch watch(loop.get_executor(), [&asked] { return ++asked > 0; });
  watch.Start(net::Now() + milliseconds(20));
  loop.run_for(milliseconds(5));
  CHECK_FALSE(watch.Stop());
  watch.Start(net::Now() + milliseconds(60));
  loop.run_for(milliseconds(30));
  CHECK(asked == 0);
  CHECK_FALSE(watch.Stop());
}

TEST_CASE("a timer that has expired asks nothing after the watch is gone") {
  net::asio::io_context loop{1};
  int asked = 0;
  {
    SilenceWatch watch(loop.get_executor(), [&asked] { return ++asked > 0; });
    watch.Start(net::Now());
  }
  loop.run_for(milliseconds(20));
  CHECK(asked == 0);
}

}  // namespace
}  // namespace lentilhead::gateway::internal
