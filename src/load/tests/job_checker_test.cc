#include "load/job_checker.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "load/call_planner.h"

namespace lentilhead::load {

namespace {

JobPlan SmallJob() {
  JobPlan plan;
  plan.name = "letters";
  plan.model = "m";
  plan.items = 3;
  plan.max_tokens = 4;
  return plan;
}

/// Results of a job in which every item has the expected answer.
std::vector<std::string> CorrectResults(const JobChecker& checker) {
  std::vector<std::string> results;
  std::istringstream lines(checker.SubmissionBody());
  for (std::string line; std::getline(lines, line);) {
    const nlohmann::json item = nlohmann::json::parse(line);
    const std::string prompt = item["body"]["messages"][0]["content"];
    const nlohmann::json result = {
        {"custom_id", item["custom_id"]},
        {"response",
         {{"status_code", 200},
          {"body", {{"choices", {{{"message", {{"content", ExpectedText(prompt, 4)}}}}}}}}}}};
    results.push_back(result.dump());
  }
  return results;
}

JobResult Check(const JobChecker& checker, const std::vector<std::string>& lines) {
  std::string body;
  for (const std::string& line : lines) {
    body.append(line).append("\n");
  }
  JobResult result;
  result.accepted = true;
  result.finished = true;
  checker.Check(body, result);
  return result;
}

}  // namespace

TEST_CASE("correct results of all items make the job complete") {
  const JobChecker checker(SmallJob(), "run", 1);
  const JobResult result = Check(checker, CorrectResults(checker));
  CHECK(result.succeeded == 3);
  CHECK(result.IsComplete());
}

TEST_CASE("missing, duplicated and wrong results are counted") {
  const JobChecker checker(SmallJob(), "run", 1);
  std::vector<std::string> lines = CorrectResults(checker);
  SUBCASE("missing") {
    lines.pop_back();
    CHECK(Check(checker, lines).missing == 1);
  }
  SUBCASE("duplicated") {
    lines.push_back(lines[0]);
    CHECK(Check(checker, lines).duplicated == 1);
  }
  SUBCASE("of another run") {
    const JobChecker other(SmallJob(), "other", 1);
    lines[1] = CorrectResults(other)[1];
    CHECK(Check(checker, lines).wrong == 1);
  }
  SUBCASE("not JSON") {
    lines[1] = "{";
    const JobResult result = Check(checker, lines);
    CHECK(result.wrong == 1);
    CHECK(result.missing == 1);
  }
  CHECK_FALSE(Check(checker, lines).IsComplete());
}

}  // namespace lentilhead::load
