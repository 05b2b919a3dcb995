#include "apps/ctl/log_trace.h"

#include <doctest/doctest.h>

namespace lentilhead::apps::ctl {
namespace {

TEST_CASE("lines with one id from the logs of several nodes are ordered by time") {
  LogTrace trace("r1");
  trace.AddLog("n1",
               "time=10.5 event=request_end request=r1 outcome=served\n"
               "time=10.6 event=request_end request=r12 outcome=served\n"
               "time=10.7 event=other note=\"not r1 here\"\n");
  trace.AddLog("n2", "time=10.25 event=attempt_sent request=r1\nno line of a log, request=r1\n");
  const std::vector<std::string> lines = trace.Render();
  REQUIRE(lines.size() == 2);
  CHECK(lines[0] == "    +0.000 n2 event=attempt_sent request=r1");
  CHECK(lines[1] == "    +0.250 n1 event=request_end request=r1 outcome=served");
}

TEST_CASE("an id without lines yields an empty trace") {
  LogTrace trace("r1");
  trace.AddLog("n1", "");
  CHECK(trace.Render().empty());
}

}  // namespace
}  // namespace lentilhead::apps::ctl
