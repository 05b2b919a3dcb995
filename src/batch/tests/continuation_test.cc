#include "batch/internal/continuation.h"

#include <doctest/doctest.h>

#include "batch/internal/stream_answer.h"

namespace lentilhead::batch::internal {

using nlohmann::json;

TEST_CASE("a continued request generates only the tokens that are left") {
  const PartialAnswer partial{"one two ", 2};
  for (const char* key : {"max_tokens", "max_completion_tokens"}) {
    json body = {{"messages", json::array({{{"role", "user"}, {"content", "x"}}})}, {key, 8}};
    REQUIRE(ContinuationOf(body, partial) == partial);
    ApplyContinuation(body, partial);
    CHECK(body[key] == 6);
    CHECK(body["messages"][1]["content"] == "one two ");
    CHECK(body["continue_final_message"] == true);
  }
}

TEST_CASE("an item whose partial answer has used all its tokens starts from the beginning") {
  const json body = {{"max_tokens", 2}};
  CHECK(ContinuationOf(body, {"one two ", 2}) == PartialAnswer{});
  CHECK(ContinuationOf(json::object(), {"one two ", 2}).tokens == 2);
}

TEST_CASE("a continued answer contains the text and the usage of all its attempts") {
  StreamAnswer answer({"one two ", 2});
  answer.Feed("data: {\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":null}}]}\n\n");
  answer.Feed("data: {\"choices\":[{\"delta\":{\"content\":\"three \"}}]}\n\n");
  CHECK(answer.Partial() == PartialAnswer{"one two three ", 3});
  answer.Feed("data: {\"choices\":[],\"usage\":{\"completion_tokens\":1,\"total_tokens\":4}}\n\n");
  answer.Feed("data: [DONE]\n\n");
  CHECK(answer.IsComplete());
  const json rendered = json::parse(answer.Render());
  CHECK(rendered["choices"][0]["message"]["content"] == "one two three ");
  CHECK(rendered["usage"]["completion_tokens"] == 3);
}

}  // namespace lentilhead::batch::internal
