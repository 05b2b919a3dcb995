#include "gateway/part_quarantine.h"

#include <doctest/doctest.h>

#include "gateway/probe_turn.h"
#include "gateway/tests/quarantine_fixture.h"

namespace lentilhead::gateway::tests {
namespace {

using Fixture = QuarantineFixture;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE_FIXTURE(Fixture,
                  "a part is held after two requests ended the endpoints that began them") {
  this->quarantine.RecordAnswer({{kFirst}, {}}, this->now);
  this->End({kFirst, kBad});
  CHECK_FALSE(this->IsHeld({kFirst, kBad}));
  this->End({kFirst, kBad});
  CHECK(this->IsHeld({kFirst, kBad}));
  CHECK(this->IsHeld({kSubject, kBad}));
  CHECK_FALSE(this->IsHeld({kFirst, kSubject}));
}

TEST_CASE_FIXTURE(Fixture, "a single request is held after it ended three endpoints") {
  this->End({kFirst, kBad});
  this->EndAgain({{kFirst, kBad}, {}});
  CHECK_FALSE(this->IsHeld({kFirst, kBad}));
  this->EndAgain({{kFirst, kBad}, {}});
  CHECK(this->IsHeld({kFirst, kBad}));
}

TEST_CASE_FIXTURE(Fixture, "requests that may still have waited weigh half") {
  for (int end = 0; end < 3; ++end) {
    this->End({kBad}, AttemptStage::kUnanswered);
    CHECK_FALSE(this->IsHeld({kBad}));
  }
  this->End({kBad}, AttemptStage::kUnanswered);
  CHECK(this->IsHeld({kBad}));
}

TEST_CASE_FIXTURE(Fixture, "of two parts without an answer the later one is held") {
  this->End({kFirst, kBad});
  this->End({kFirst, kBad});
  CHECK(this->IsHeld({kBad}));
  CHECK_FALSE(this->IsHeld({kFirst, kSubject}));
}

TEST_CASE_FIXTURE(Fixture, "a first part is held when the parts behind it differ") {
  for (PartKey subject = 10; subject < 12; ++subject) {
    this->End({kBad, subject});
  }
  CHECK(this->IsHeld({kBad, kSubject}));
  CHECK_FALSE(this->IsHeld({kFirst, 10}));
}

TEST_CASE_FIXTURE(Fixture, "two bad parts are both held, and the part that they share is not") {
  this->quarantine.RecordAnswer({{kFirst}, {}}, this->now);
  for (int end = 0; end < 2; ++end) {
    this->End({kFirst, kBad});
    this->End({kFirst, kOtherBad});
  }
  CHECK(this->IsHeld({kFirst, kBad}));
  CHECK(this->IsHeld({kFirst, kOtherBad}));
  CHECK_FALSE(this->IsHeld({kFirst, kSubject}));
}

TEST_CASE_FIXTURE(Fixture, "endpoints that end together count once") {
  for (int end = 0; end < 8; ++end) {
    this->End({kSubject});
    this->now -= milliseconds(96);
  }
  CHECK_FALSE(this->IsHeld({kSubject}));
}

TEST_CASE_FIXTURE(Fixture, "an answer ends the suspicion and releases a held part") {
  this->End({kBad});
  this->quarantine.RecordAnswer({{kBad}, {}}, this->now);
  this->End({kBad});
  this->End({kBad});
  CHECK_FALSE(this->IsHeld({kBad}));
  this->quarantine.RecordAnswer({{kBad}, {}}, this->now);
  CHECK_FALSE(this->IsHeld({kBad}));
}

TEST_CASE_FIXTURE(Fixture, "a part that was answered before is held after six ends in a row") {
  this->quarantine.RecordAnswer({{kBad}, {}}, this->now);
  for (int end = 0; end < 5; ++end) {
    this->End({kBad});
  }
  CHECK_FALSE(this->IsHeld({kBad}));
  this->End({kBad});
  CHECK(this->IsHeld({kBad}));
  this->quarantine.RecordAnswer({{kBad}, {}}, this->now);
  CHECK_FALSE(this->IsHeld({kBad}));
}

TEST_CASE_FIXTURE(Fixture, "ends that are far apart are chance") {
  this->End({kSubject});
  this->now += seconds(61);
  this->quarantine.Prune(this->now);
  this->End({kSubject});
  CHECK_FALSE(this->IsHeld({kSubject}));
}

TEST_CASE_FIXTURE(Fixture, "a held part is probed by one request at growing distances") {
  this->End({kBad});
  this->End({kBad});
  std::vector<seconds> probes;
  const net::SteadyTime held_at = this->now;
  for (; this->now < held_at + seconds(300); this->now += milliseconds(100)) {
    this->quarantine.Prune(this->now);
    if (this->MayProbe({kBad})) {
      probes.push_back(std::chrono::round<seconds>(this->now - held_at));
      this->quarantine.RecordProbe(kBad, this->now);
      CHECK(this->IsHeld({kBad}));
      this->End({kBad});
    }
  }
  CHECK(probes == std::vector<seconds>{seconds(10), seconds(50), seconds(210)});
}

TEST_CASE_FIXTURE(Fixture, "a part that is sound again is released by the answer to its probe") {
  this->End({kBad});
  this->End({kBad});
  this->now += seconds(11);
  REQUIRE(this->MayProbe({kBad}));
  this->quarantine.RecordProbe(kBad, this->now);
  this->quarantine.RecordAnswer({{kBad}, {}}, this->now + milliseconds(70));
  CHECK_FALSE(this->IsHeld({kBad}));
  CHECK(this->quarantine.HeldCount() == 0);
}

TEST_CASE_FIXTURE(Fixture, "only requests with a part that was never answered wait for evidence") {
  this->quarantine.RecordAnswer({{kFirst}, {}}, this->now);
  this->now += seconds(1);
  this->End({kFirst, kBad});
  const auto pause = [this](std::vector<PartKey> parts, AttemptStage stage) {
    return this->quarantine.PauseBeforeRetry({"r", {std::move(parts), {}}, 1, stage});
  };
  CHECK(pause({kFirst, kBad}, AttemptStage::kBegun) > milliseconds(0));
  CHECK(pause({kFirst, kBad}, AttemptStage::kUnanswered) == milliseconds(0));
  CHECK(pause({kFirst}, AttemptStage::kBegun) == milliseconds(0));
}

TEST_CASE_FIXTURE(Fixture, "a caller is told when the next probe is due") {
  this->End({kBad});
  this->End({kBad});
  const PartVerdict verdict = this->quarantine.Check({{kBad}, {}}, this->now);
  REQUIRE(std::holds_alternative<PartHeld>(verdict));
  CHECK(std::get<PartHeld>(verdict).part == kBad);
  CHECK(std::get<PartHeld>(verdict).retry_after > seconds(9));
  CHECK(std::get<PartHeld>(verdict).retry_after <= seconds(10));
}

TEST_CASE("nodes that exchange their evidence hold and release the same parts") {
  PartQuarantine one;
  PartQuarantine other;
  one.RecordAnswer({{kFirst}, {}}, kStart);
  one.RecordEnd({"r1", {{kFirst, kBad}, {}}, 1, AttemptStage::kBegun}, kStart + milliseconds(100));
  other.RecordEnd({"r2", {{kFirst, kBad}, {}}, 2, AttemptStage::kBegun},
                  kStart + milliseconds(300));
  other.RecordEnd({"r3", {{kFirst, kSubject}, {}}, 3, AttemptStage::kBegun},
                  kStart + milliseconds(500));
  const net::SteadyTime now = kStart + seconds(1);
  other.Merge(one.Evidence(now, false), now);
  one.Merge(other.Evidence(now, false), now);
  for (const PartQuarantine* node : {&one, &other}) {
    CHECK(std::holds_alternative<PartHeld>(node->Check({{kFirst, kBad}, {}}, now)));
    CHECK(std::holds_alternative<PartsAllowed>(node->Check({{kFirst, kSubject}, {}}, now)));
  }
  const std::uint64_t version = one.Version();
  one.Merge(other.Evidence(now, false), now);
  CHECK(one.Version() == version);
  one.RecordAnswer({{kBad}, {}}, now + seconds(1));
  other.Merge(one.Evidence(now + seconds(2), false), now + seconds(2));
  CHECK(std::holds_alternative<PartsAllowed>(other.Check({{kBad}, {}}, now + seconds(2))));
}

TEST_CASE(
    "nodes that repeat an answer from just before the ends of a held request change nothing") {
  std::vector<PartQuarantine> nodes(10);
  const PromptKeys keys{{}, kRequest};
  nodes[0].RecordEnd({"r0", keys, 1, AttemptStage::kUnanswered, true}, kStart);
  nodes[0].RecordAnswer(keys, kStart + milliseconds(1));
  for (std::uint32_t end = 1; end <= 3; ++end) {
    nodes[0].RecordEnd({"r" + std::to_string(end), keys, end + 1, AttemptStage::kUnanswered, true},
                       kStart + end * milliseconds(60));
  }
  REQUIRE(std::holds_alternative<PartHeld>(nodes[0].Check(keys, kStart + milliseconds(180))));
  bool was_probed = false;
  net::SteadyTime now = kStart + milliseconds(200);
  const std::uint64_t version = nodes[0].Version();
  for (std::size_t turn = 0; now < kStart + seconds(12); ++turn, now += milliseconds(5)) {
    const std::vector<PartEvidence> evidence = nodes[turn % nodes.size()].Evidence(now, false);
    for (std::size_t node = 0; node < nodes.size(); ++node) {
      if (node != turn % nodes.size()) {
        nodes[node].Merge(evidence, now + milliseconds(1));
      }
    }
    was_probed = was_probed || !std::holds_alternative<PartHeld>(nodes[0].Check(keys, now));
  }
  CHECK(was_probed);
  CHECK(nodes[0].Version() - version < 10);
}

TEST_CASE("a node learns from another that a suspected part was answered") {
  PartQuarantine one;
  PartQuarantine other;
  one.RecordAnswer({{kFirst}, {}}, kStart);
  for (std::uint32_t end = 0; end < 3; ++end) {
    other.RecordEnd({"r" + std::to_string(end), {{kFirst}, {}}, end, AttemptStage::kBegun},
                    kStart + end * milliseconds(100));
  }
  const net::SteadyTime now = kStart + seconds(1);
  CHECK(std::holds_alternative<PartHeld>(other.Check({{kFirst}, {}}, now)));
  one.Merge(other.Evidence(now, false), now);
  other.Merge(one.Evidence(now, false), now);
  CHECK(std::holds_alternative<PartsAllowed>(other.Check({{kFirst}, {}}, now)));
}

TEST_CASE("evidence with times in the future or great weights counts as ordinary evidence") {
  PartQuarantine quarantine;
  PartEvidence forged;
  forged.part = kBad;
  forged.ends = {{1, 1, 1000, seconds(-3600)}};
  forged.probe_age = seconds(-3600);
  forged.probes = 1;
  quarantine.Merge({forged}, kStart);
  CHECK(std::holds_alternative<PartsAllowed>(quarantine.Check({{kBad}, {}}, kStart)));
  quarantine.RecordAnswer({{kBad}, {}}, kStart + seconds(1));
  quarantine.Prune(kStart + seconds(12));
  CHECK(quarantine.Evidence(kStart + seconds(12), false).empty());
}

TEST_CASE("the evidence and its share for other nodes are bounded, and held parts come first") {
  PartQuarantine quarantine;
  quarantine.RecordEnd({"a", {{kBad}, {}}, 1, AttemptStage::kBegun}, kStart);
  quarantine.RecordEnd({"b", {{kBad}, {}}, 2, AttemptStage::kBegun}, kStart + seconds(1));
  for (std::uint32_t end = 0; end < 2000; ++end) {
    quarantine.RecordEnd({"c", {{1000 + end}, {}}, 10 + end, AttemptStage::kBegun},
                         kStart + seconds(2) + milliseconds(end));
  }
  const std::vector<PartEvidence> evidence = quarantine.Evidence(kStart + seconds(5), false);
  CHECK(evidence.size() == PartQuarantine::kMaxSharedEvidence);
  CHECK(evidence.front().part == kBad);
}

TEST_CASE("each turn to probe is that of one node, and turns go round") {
  const std::vector<std::string> nodes{"a", "b", "c", "d"};
  std::set<std::string> seen;
  for (std::uint64_t turn = 0; turn < 40; ++turn) {
    int owners = 0;
    for (const std::string& node : nodes) {
      if (ProbeTurn::IsOwn(nodes, node, kBad, turn)) {
        ++owners;
        seen.insert(node);
      }
    }
    CHECK(owners == 1);
  }
  CHECK(seen.size() == nodes.size());
}

TEST_CASE("parts that were answered long ago are forgotten first") {
  AnsweredParts answered;
  for (PartKey part = 0; part < 3 * AnsweredParts::kGenerationSize; ++part) {
    answered.Record(part, kStart + milliseconds(part));
  }
  CHECK_FALSE(answered.LastAnswer(0).has_value());
  CHECK(answered.LastAnswer(3 * AnsweredParts::kGenerationSize - 1).has_value());
}

}  // namespace
}  // namespace lentilhead::gateway::tests
