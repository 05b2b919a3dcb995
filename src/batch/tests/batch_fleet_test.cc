#include "batch/tests/batch_fleet.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "standin/engine/repeating_server.h"

namespace lentilhead::batch {

namespace {

using nlohmann::json;

std::set<std::string> Expected(std::size_t items) {
  std::set<std::string> ids;
  for (std::size_t index = 0; index < items; ++index) {
    ids.insert(std::to_string(index));
  }
  return ids;
}

std::vector<std::string> SubmitSeveral(BatchFleet& fleet, std::size_t count) {
  std::vector<std::string> jobs(count);
  for (std::size_t index = 0; index < count; ++index) {
    jobs[index] = fleet.Submit(0, 300, "key" + std::to_string(index));
  }
  return jobs;
}

/// Answers of an engine: its load, or an echo of a prompt.
std::string AnswerOf(const std::string& path, const std::string& body) {
  if (path == "/load") {
    return R"({"running":0,"waiting":0,"slots":8,"draining":false})";
  }
  const json request = json::parse(body);
  const std::string text = "re " + request["messages"].back()["content"].get<std::string>();
  const json answer = {{"choices", {{{"message", {{"role", "assistant"}, {"content", text}}}}}}};
  return answer.dump();
}

/// Checks that the results contain each item exactly once.
void CheckComplete(const std::vector<std::string>& ids, std::size_t items) {
  CHECK(ids.size() == items);
  CHECK(std::set<std::string>(ids.begin(), ids.end()) == Expected(items));
}

}  // namespace

TEST_CASE("a job finishes and its results are read from another instance") {
  BatchFleet fleet(3, 2);
  const std::string job = fleet.Submit(0, 600, "key");
  REQUIRE_FALSE(job.empty());
  REQUIRE(fleet.RunUntilState(job, "finished"));
  CheckComplete(fleet.ResultIds(1, job), 600);
  for (const auto& engine : fleet.engines) {
    CHECK(engine->max_running <= 8);
  }
}

TEST_CASE("a resent job is the same job and other content is a conflict") {
  BatchFleet fleet(2, 1);
  const std::string first = fleet.Submit(0, 5, "key");
  CHECK(fleet.Submit(1, 5, "key") == first);
  const auto other =
      fleet.Call(1, "POST", "/v1/jobs?service=profiles", BatchFleet::Lines(6), "key");
  CHECK(other.head.status == 409);
  CHECK(json::parse(other.body)["error"]["code"] == "idempotency_conflict");
  const json list = json::parse(fleet.Call(0, "GET", "/v1/jobs").body);
  CHECK(list["data"].size() == 1);
}

TEST_CASE("a submission with invalid lines is refused and the response lists their numbers") {
  BatchFleet fleet(1, 1);
  const auto refused = fleet.Call(0, "POST", "/v1/jobs?service=profiles",
                                  BatchFleet::Lines(2) + "nonsense\n", "key");
  CHECK(refused.head.status == 400);
  const json error = json::parse(refused.body)["error"];
  CHECK(error["outcome"] == "not_run");
  CHECK(error["lines"][0]["line"] == 3);
  CHECK(json::parse(fleet.Call(0, "GET", "/v1/jobs").body)["data"].empty());
  CHECK(fleet.Call(0, "POST", "/v1/jobs?service=other", "x").head.status == 400);
}

TEST_CASE("another caller's job is answered like one that does not exist") {
  BatchFleet fleet(1, 1);
  const std::string job = fleet.Submit(0, 3, "key");
  const auto foreign = fleet.Call(0, "GET", "/v1/jobs/" + job, "", "", "other");
  const auto missing = fleet.Call(0, "GET", "/v1/jobs/job-0", "", "", "other");
  CHECK(foreign.head.status == 404);
  CHECK(foreign.body == missing.body);
  CHECK(fleet.Call(0, "POST", "/v1/jobs/" + job + "/cancel", "", "", "other").head.status == 404);
}

TEST_CASE("a cancelled job stops and gets no later result") {
  BatchFleet fleet(2, 1, std::chrono::milliseconds(5));
  const std::string job = fleet.Submit(0, 5'000, "key");
  standin::PlatformFixture::RunUntil([&] { return fleet.engines[0]->request_counts.size() > 200; });
  const auto answer = fleet.Call(1, "POST", "/v1/jobs/" + job + "/cancel");
  REQUIRE(answer.head.status == 200);
  const std::size_t results = fleet.ResultIds(1, job).size();
  std::size_t runs = 0;
  bool settled = false;
  const auto sample_timer = fleet.platform.timers->After(
      std::chrono::milliseconds(1'000), [&] { runs = fleet.engines[0]->request_counts.size(); });
  const auto later =
      fleet.platform.timers->After(std::chrono::milliseconds(1'500), [&] { settled = true; });
  standin::PlatformFixture::RunUntil([&] { return settled; });
  CHECK(fleet.engines[0]->request_counts.size() == runs);
  CHECK(runs < 5'000);
  CHECK(fleet.ResultIds(0, job).size() == results);
}

TEST_CASE(
    "other instances finish the jobs of a killed one, and items that always fail end as failed") {
  BatchFleet fleet(3, 2, std::chrono::milliseconds(2));
  fleet.engines[0]->failing_text = "text7";
  fleet.engines[1]->failing_text = "text7";
  fleet.engines[0]->aborted_text = "text11";
  fleet.engines[1]->aborted_text = "text11";
  const std::vector<std::string> jobs = SubmitSeveral(fleet, 6);
  standin::PlatformFixture::RunUntil([&] { return fleet.engines[0]->request_counts.size() > 50; });
  fleet.Kill(1);
  for (const std::string& job : jobs) {
    REQUIRE(fleet.RunUntilState(job, "finished"));
    CheckComplete(fleet.ResultIds(2, job), 300);
    const json status = json::parse(fleet.Call(0, "GET", "/v1/jobs/" + job).body);
    CHECK(status["items"]["failed"] == 2);
  }
}

TEST_CASE("a completion that was broken off is no result") {
  BatchFleet fleet(1, 1);
  fleet.engines[0]->cut_text = "text";
  const std::string line =
      R"({"custom_id":"0","method":"POST","url":"/v1/chat/completions","body":{"model":"m","n":2,)"
      R"("messages":[{"role":"user","content":"text"}]}})";
  const auto accepted = fleet.Call(0, "POST", "/v1/jobs?service=profiles", line + "\n", "key");
  const std::string job = json::parse(accepted.body)["id"];
  REQUIRE(fleet.RunUntilState(job, "finished"));
  CHECK(fleet.engines[0]->request_counts["text"] == 2);
  const json result = json::parse(fleet.Call(0, "GET", "/v1/jobs/" + job + "/results").body);
  CHECK(result["response"]["body"]["choices"][0]["message"]["content"] == "re text");
}

TEST_CASE("an answer that an endpoint sends again late is no result of the next item") {
  BatchFleet fleet(1, 0);
  standin::RepeatingServer endpoint(AnswerOf);
  fleet.platform.server.ChangeList("profiles", {"repeating", endpoint.Address(), "z"});
  std::string lines;
  for (int item = 0; item < 40; ++item) {
    const json body = {
        {"model", "m"},
        {"n", 2},  // answered whole
        {"messages", {{{"role", "user"}, {"content", "text" + std::to_string(item)}}}}};
    const json line = {{"custom_id", std::to_string(item)},
                       {"method", "POST"},
                       {"url", "/v1/chat/completions"},
                       {"body", body}};
    lines += line.dump() + "\n";
  }
  const auto accepted = fleet.Call(0, "POST", "/v1/jobs?service=profiles", lines, "key");
  const std::string job = json::parse(accepted.body)["id"];
  REQUIRE(fleet.RunUntilState(job, "finished"));
  std::istringstream results(fleet.Call(0, "GET", "/v1/jobs/" + job + "/results").body);
  int count = 0;
  for (std::string line; std::getline(results, line); ++count) {
    const json result = json::parse(line);
    const json& choices = result["response"]["body"]["choices"];
    CHECK(choices[0]["message"]["content"] == "re text" + result["custom_id"].get<std::string>());
  }
  CHECK(count == 40);
}

TEST_CASE("a draining instance hands its jobs over") {
  BatchFleet fleet(2, 2, std::chrono::milliseconds(2));
  const std::vector<std::string> jobs = SubmitSeveral(fleet, 4);
  standin::PlatformFixture::RunUntil([&] { return fleet.engines[0]->request_counts.size() > 50; });
  fleet.Module(0).Drain();
  CHECK(standin::PlatformFixture::RunUntil([&] { return fleet.Module(0).IsIdle(); }));
  fleet.Kill(0);
  for (const std::string& job : jobs) {
    REQUIRE(fleet.RunUntilState(job, "finished", 1));
    CheckComplete(fleet.ResultIds(1, job), 300);
  }
}

TEST_CASE("a job goes on through a store outage and lost answers") {
  BatchFleet fleet(2, 1, std::chrono::milliseconds(2));
  const std::string job = fleet.Submit(0, 2'000, "key");
  standin::PlatformFixture::RunUntil([&] { return fleet.engines[0]->request_counts.size() > 100; });
  standin::Fault down{.down = true};
  fleet.platform.server.SetFault(standin::FaultTarget::kTable, down);
  fleet.platform.server.SetFault(standin::FaultTarget::kObjects, down);
  bool waited = false;
  const auto outage =
      fleet.platform.timers->After(std::chrono::milliseconds(1'500), [&] { waited = true; });
  standin::PlatformFixture::RunUntil([&] { return waited; });
  // The limit of items without a durable result has stopped further runs.
  CHECK(fleet.engines[0]->request_counts.size() < 1'000);
  const auto refused = fleet.Call(0, "POST", "/v1/jobs/" + job + "/cancel");
  CHECK(refused.head.status == 503);
  fleet.platform.server.SetFault(standin::FaultTarget::kTable, {.lose_answers = 5});
  fleet.platform.server.SetFault(standin::FaultTarget::kObjects, {.lose_answers = 5});
  REQUIRE(fleet.RunUntilState(job, "finished"));
  CheckComplete(fleet.ResultIds(1, job), 2'000);
}

}  // namespace lentilhead::batch
