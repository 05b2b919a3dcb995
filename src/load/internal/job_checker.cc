#include "load/job_checker.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "framework/hash.h"
#include "load/call_planner.h"

namespace lentilhead::load {

namespace {

constexpr std::string_view kItemPrefix = "item-";
constexpr double kHashRange = 18446744073709551616.0;  ///< 2^64.

std::string ItemName(int item) { return std::string(kItemPrefix) + std::to_string(item); }

int ParseItemName(const std::string& name) {
  if (!name.starts_with(kItemPrefix)) {
    return -1;
  }
  return std::atoi(name.c_str() + kItemPrefix.size());  // NOLINT(cert-err34-c)
}

}  // namespace

JobChecker::JobChecker(JobPlan plan, std::string run, std::uint64_t seed)
    : plan(std::move(plan)), run(std::move(run)), seed(seed) {}

std::string JobChecker::SubmissionBody() const {
  std::string lines;
  for (int item = 0; item < this->plan.items; ++item) {
    const nlohmann::json line = {
        {"custom_id", ItemName(item)},
        {"method", "POST"},
        {"url", "/v1/chat/completions"},
        {"body",
         {{"model", this->plan.model},
          {"max_tokens", this->plan.max_tokens},
          {"messages", {{{"role", "user"}, {"content", this->PromptOf(item)}}}}}}};
    lines.append(line.dump()).append("\n");
  }
  return lines;
}

void JobChecker::Check(std::string_view results, JobResult& result) const {
  std::vector<int> result_counts(static_cast<std::size_t>(this->plan.items));
  while (!results.empty()) {
    const std::size_t end = std::min(results.find('\n'), results.size());
    const nlohmann::json line = nlohmann::json::parse(results.substr(0, end), nullptr, false);
    results.remove_prefix(std::min(end + 1, results.size()));
    const int item = line.is_object() ? ParseItemName(line.value("custom_id", "")) : -1;
    if (item < 0 || item >= this->plan.items) {
      result.wrong += 1;
      continue;
    }
    result_counts[static_cast<std::size_t>(item)] += 1;
    const nlohmann::json::json_pointer content("/response/body/choices/0/message/content");
    const nlohmann::json text = line.value(content, nlohmann::json());
    if (text == ExpectedText(this->PromptOf(item), this->plan.max_tokens)) {
      result.succeeded += 1;
    } else if (line.contains("error") && line["error"].is_object()) {
      result.failed += 1;
    } else {
      result.wrong += 1;
    }
  }
  for (const int count : result_counts) {
    result.missing += count == 0 ? 1 : 0;
    result.duplicated += count > 1 ? 1 : 0;
  }
}

std::string JobChecker::PromptOf(int item) const {
  std::string prompt = this->run;
  prompt.append(" ").append(this->plan.name).append(" ").append(ItemName(item));
  return this->IsPoison(item) ? prompt.append(" poison-fail") : prompt;
}

bool JobChecker::IsPoison(int item) const {
  const auto draw = static_cast<double>(framework::Hash(ItemName(item), this->seed)) / kHashRange;
  return draw < this->plan.poison_share;
}

}  // namespace lentilhead::load
