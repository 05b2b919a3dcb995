#include <doctest/doctest.h>

#include "gateway/tests/quarantine_fixture.h"

namespace lentilhead::gateway::tests {
namespace {

using Fixture = QuarantineFixture;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE_FIXTURE(Fixture,
                  "a request that ended two endpoints that had begun it is held by itself") {
  this->quarantine.RecordAnswer({{kFirst}, {}}, this->now);
  this->EndRequest({{kFirst, kSubject}, kRequest});
  CHECK_FALSE(this->IsRequestHeld({{kFirst, kSubject}, kRequest}));
  this->EndRequest({{kFirst, kSubject}, kRequest});
  CHECK(this->IsRequestHeld({{kFirst, kSubject}, kRequest}));
  CHECK_FALSE(this->IsRequestHeld({{kFirst, kSubject}, kOtherRequest}));
}

TEST_CASE_FIXTURE(Fixture, "a request is held after three losses, however uncertain the ends are") {
  for (int loss = 0; loss < 3; ++loss) {
    CHECK_FALSE(this->IsRequestHeld({{}, kRequest}));
    this->EndRequest({{}, kRequest}, AttemptStage::kUnanswered, false);
  }
  CHECK(this->IsRequestHeld({{}, kRequest}));
}

TEST_CASE_FIXTURE(Fixture, "a request that is lost at several endpoints at one time is not held") {
  for (int loss = 0; loss < 5; ++loss) {
    this->EndRequest({{}, kRequest});
    this->now -= milliseconds(96);
  }
  CHECK_FALSE(this->IsRequestHeld({{}, kRequest}));
}

TEST_CASE_FIXTURE(Fixture, "a request is released by the answer to one with the same content") {
  this->EndRequest({{}, kRequest});
  this->EndRequest({{}, kRequest});
  REQUIRE(this->IsRequestHeld({{}, kRequest}));
  this->quarantine.RecordAnswer({{}, kRequest}, this->now);
  CHECK_FALSE(this->IsRequestHeld({{}, kRequest}));
}

TEST_CASE_FIXTURE(Fixture, "sound requests beside one that comes again are not held for its ends") {
  for (int end = 0; end < 3; ++end) {
    this->EndRequest({{kFirst, kSubject}, kRequest});
    // The sound request was sent again to the same endpoint.
    this->quarantine.RecordEnd(
        {"sound", {{kFirst, kSubject}, kOtherRequest}, this->endpoints, AttemptStage::kBegun},
        this->now);
  }
  CHECK(this->IsRequestHeld({{}, kRequest}));
  CHECK_FALSE(this->IsRequestHeld({{kFirst, kSubject}, kOtherRequest}));
}

TEST_CASE_FIXTURE(Fixture, "no request is held for the ends of a part that many requests share") {
  for (PartKey request = 100; request < 103; ++request) {
    this->EndRequest({{kFirst, kBad}, request});
    this->EndAgain({{kFirst, kBad}, request});
  }
  CHECK(this->IsRequestHeld({{kFirst, kBad}, {}}));
  for (PartKey request = 100; request < 103; ++request) {
    CHECK_FALSE(this->IsRequestHeld({{}, request}));
  }
}

TEST_CASE_FIXTURE(Fixture, "a request is not sent again after endpoints ended under it twice") {
  const auto may_send = [this] {
    return this->quarantine.MaySendAgain({"r", {{}, kRequest}, 1, AttemptStage::kUnanswered});
  };
  this->EndRequest({{}, kRequest}, AttemptStage::kUnanswered);
  CHECK(may_send());
  this->EndRequest({{}, kRequest}, AttemptStage::kUnanswered);
  CHECK_FALSE(may_send());
}

TEST_CASE_FIXTURE(Fixture, "requests wait for the one with their content that lost its endpoint") {
  const PromptKeys keys{{}, kRequest};
  this->quarantine.RecordEnd({"first", keys, 1, AttemptStage::kBegun}, this->now);
  CHECK(this->quarantine.PauseBeforeSend(keys, "other", this->now) >= milliseconds(300));
  CHECK(this->quarantine.PauseBeforeSend(keys, "first", this->now) == milliseconds(0));
  CHECK(this->quarantine.PauseBeforeSend({{}, kOtherRequest}, "other", this->now) ==
        milliseconds(0));
  this->quarantine.RecordAnswer(keys, this->now + milliseconds(50));
  CHECK(this->quarantine.PauseBeforeSend(keys, "other", this->now + milliseconds(50)) ==
        milliseconds(0));
}

TEST_CASE_FIXTURE(Fixture, "requests that are held do not wait before they are refused") {
  const PromptKeys keys{{}, kRequest};
  this->EndRequest(keys);
  this->EndRequest(keys);
  REQUIRE(this->IsRequestHeld({{}, kRequest}));
  CHECK(this->quarantine.PauseBeforeSend(keys, "other", this->now) == milliseconds(0));
}

TEST_CASE_FIXTURE(Fixture, "requests do not wait for one that only lost its connection") {
  const PromptKeys keys{{}, kRequest};
  this->quarantine.RecordEnd({"first", keys, 1, AttemptStage::kUnanswered, false}, this->now);
  CHECK(this->quarantine.PauseBeforeSend(keys, "other", this->now) == milliseconds(0));
}

TEST_CASE_FIXTURE(Fixture, "a request that comes once a minute for an hour ends a handful") {
  int sent = 0;
  for (int minute = 0; minute < 60; ++minute) {
    this->quarantine.Prune(this->now);
    const PartVerdict verdict = this->quarantine.Check({{}, kRequest}, this->now);
    if (!std::holds_alternative<PartHeld>(verdict)) {
      ++sent;
      if (std::holds_alternative<PartProbe>(verdict)) {
        this->quarantine.RecordProbe(kRequest, this->now);
      }
      this->EndRequest({{}, kRequest}, AttemptStage::kUnanswered);
    }
    this->now += seconds(60);
  }
  CHECK(sent <= 8);
}

TEST_CASE_FIXTURE(Fixture,
                  "a flood of lost requests forgets neither a held one nor a repeated one") {
  this->EndRequest({{}, kRequest});
  this->EndRequest({{}, kRequest});
  this->EndRequest({{}, kOtherRequest}, AttemptStage::kUnanswered);
  this->EndRequest({{}, kOtherRequest}, AttemptStage::kUnanswered);
  for (PartKey request = 1000; request < 6000; ++request) {
    this->EndRequest({{}, request}, AttemptStage::kUnanswered);
    this->now -= milliseconds(99);
  }
  CHECK(this->IsRequestHeld({{}, kRequest}));
  this->EndRequest({{}, kOtherRequest}, AttemptStage::kUnanswered);
  CHECK(this->IsRequestHeld({{}, kOtherRequest}));
}

}  // namespace
}  // namespace lentilhead::gateway::tests
