#include "online/internal/attempt_machine.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "online/internal/retry_budget.h"

namespace lentilhead::online::internal {
namespace {

constexpr framework::MonotonicTime kNow{std::chrono::seconds(1)};
constexpr const char* kAnswer = R"({"choices":[{"message":{"content":"text"}}]})";

/// Plays one whole answer to the first attempt. @return the effects of its end.
AttemptEffects PlayAnswer(bool engine, const std::string& type, const std::string& body) {
  AttemptPolicy policy;
  policy.engine = engine;
  policy.deadline = kNow + std::chrono::seconds(60);
  RetryBudget budget(1, 10);
  AttemptMachine machine(policy, budget, "{}", 7);
  machine.Start(kNow);
  machine.Handle(AnswerHead{1, 200, false, {{"content-type", type}}}, kNow);
  machine.Handle(AnswerData{1, body}, kNow);
  return machine.Handle(AnswerEnd{1, std::nullopt}, kNow);
}

template <class Effect>
bool Has(const AttemptEffects& effects) {
  return std::any_of(effects.begin(), effects.end(), [](const AttemptEffect& effect) {
    return std::holds_alternative<Effect>(effect);
  });
}

}  // namespace

TEST_CASE("a completion that was broken off is not passed on as complete") {
  const std::string whole = kAnswer;
  CHECK(Has<WholeAnswer>(PlayAnswer(true, "application/json", whole)));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    const AttemptEffects effects =
        PlayAnswer(true, "application/json; charset=utf-8", whole.substr(0, size));
    CHECK_FALSE(Has<WholeAnswer>(effects));
    CHECK(Has<WaitBackoff>(effects));
  }
}

TEST_CASE(
    "answers that are not stated to be JSON, or not of an engine, are passed on as they are") {
  CHECK(Has<WholeAnswer>(PlayAnswer(true, "audio/wav", "RIFF")));
  CHECK(Has<WholeAnswer>(PlayAnswer(false, "application/json", "{\"a\":")));
}

}  // namespace lentilhead::online::internal
