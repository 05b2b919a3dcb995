#include "batch/internal/line_checker.h"

#include <doctest/doctest.h>

namespace lentilhead::batch::internal {

namespace {

const endpoint::ServiceSettings kService{
    .name = "listings", .kind = endpoint::ServiceKind::kPlain, .non_repeatable = {{"POST", "/p"}}};

std::string Line(const std::string& id, const std::string& url = "/v1/chat/completions") {
  return R"({"custom_id":")" + id + R"(","method":"POST","url":")" + url + R"(","body":{}})";
}

}  // namespace

TEST_CASE("lines are split correctly wherever the input is divided") {
  const std::string text = Line("a") + "\n\n" + Line("b") + "\r\n" + Line("c");
  const std::string_view whole = text;
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    CAPTURE(cut);
    LineChecker checker(4'096, 10, kService);
    std::vector<std::string> lines;
    checker.Feed(whole.substr(0, cut), lines);
    checker.Feed(whole.substr(cut), lines);
    checker.Finish(lines);
    CHECK(lines.size() == 3);
    CHECK(checker.Items() == 3);
    CHECK(checker.FaultCount() == 0);
    CHECK_FALSE(checker.AtMostOnce());
  }
}

TEST_CASE("every fault is reported with its line") {
  LineChecker checker(200, 5, kService);
  std::vector<std::string> lines;
  const std::string text = Line("a") + "\nnot json\n" + Line("a") + "\n" + std::string(300, 'x') +
                           "\n" + Line("b", "relative") + "\n" +
                           R"({"custom_id":"c","method":"BREW","url":"/x","body":{}})" + "\n" +
                           R"({"method":"POST","url":"/x","body":{}})" + "\n" + Line("d") + "\n";
  checker.Feed(text, lines);
  checker.Finish(lines);
  std::vector<std::pair<std::size_t, std::string>> found;
  for (const LineFault& fault : checker.Faults()) {
    found.emplace_back(fault.line, fault.code);
  }
  const std::vector<std::pair<std::size_t, std::string>> expected = {
      {2, "invalid_json"}, {3, "duplicate_custom_id"}, {4, "line_too_long"},
      {5, "invalid_url"},  {6, "invalid_method"},      {7, "too_many_items"}};
  CHECK(found == expected);
}

TEST_CASE("one call that must not be repeated makes the whole job at most once") {
  LineChecker checker(4'096, 10, kService);
  std::vector<std::string> lines;
  checker.Feed(Line("a", "/p") + "\n", lines);
  CHECK(checker.AtMostOnce());
}

}  // namespace lentilhead::batch::internal
