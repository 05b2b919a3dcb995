#include "load/call_planner.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "standin/engine/text_generator.h"

namespace lentilhead::load {

namespace {

std::string Words(std::mt19937_64& random, int count) {
  std::string text;
  for (int word = 0; word < count; ++word) {
    text.append("w").append(std::to_string(random() % 10'000)).append(" ");
  }
  return text;
}

std::string SharedPrefix(std::uint64_t number, int words) {
  std::mt19937_64 random(number);
  return Words(random, words);
}

}  // namespace

std::string ExpectedText(const std::string& user_message, int tokens) {
  std::string prompt = "user\n";
  prompt.append(user_message).append("\n");
  const standin::TextGenerator generator(prompt);
  std::string text;
  for (int index = 0; index < tokens; ++index) {
    text.append(generator.Token(index));
  }
  return text;
}

CallPlanner::CallPlanner(std::string run, std::uint64_t seed) : run(std::move(run)), random(seed) {}

CallPlan CallPlanner::Plan(const Workload& workload, const std::string& url,
                           const std::string& key) {
  CallPlan plan;
  if (const auto* model = std::get_if<ModelWorkload>(&workload.calls)) {
    plan = this->PlanModelCall(workload, *model);
  } else {
    plan = this->PlanPlainCall(workload, std::get<PlainWorkload>(workload.calls));
  }
  plan.request.url.insert(0, url);
  plan.request.headers.emplace_back("Authorization", "Bearer " + key);
  plan.request.timeout = workload.timeout;
  plan.request.idle_timeout = workload.timeout;
  this->next_call += 1;
  return plan;
}

CallPlan CallPlanner::PlanModelCall(const Workload& workload, const ModelWorkload& calls) {
  std::string prompt;
  if (calls.shared_prefixes > 0) {
    const std::uint64_t number = this->random() % static_cast<std::uint64_t>(calls.shared_prefixes);
    prompt = SharedPrefix(number, calls.prompt_words);
  }
  prompt.append(this->run).append(" ").append(workload.name).append(" ");
  prompt.append(std::to_string(this->next_call))
      .append(" ")
      .append(Words(this->random, calls.prompt_words));
  nlohmann::json body = {{"model", calls.model},
                         {"stream", calls.stream},
                         {"max_tokens", calls.max_tokens},
                         {"messages", {{{"role", "user"}, {"content", prompt}}}}};
  CallPlan plan;
  plan.stream = calls.stream;
  plan.expected_text = ExpectedText(prompt, calls.max_tokens);
  plan.request.method = "POST";
  plan.request.url = "/v1/chat/completions";
  plan.request.content_type = "application/json";
  plan.request.body = body.dump();
  return plan;
}

CallPlan CallPlanner::PlanPlainCall(const Workload& /*workload*/, const PlainWorkload& calls) {
  CallPlan plan;
  plan.request.method = calls.method;
  plan.request.url = "/services/" + calls.service + calls.path;
  if (calls.method != "GET") {
    plan.request.content_type = "application/json";
    plan.request.body = "{}";
  }
  if (calls.idempotency_key) {
    plan.idempotency_key = this->NextIdempotencyKey(calls);
    plan.request.headers.emplace_back("Idempotency-Key", plan.idempotency_key);
  }
  return plan;
}

std::string CallPlanner::NextIdempotencyKey(const PlainWorkload& calls) {
  std::uniform_real_distribution<double> share(0, 1);
  if (!this->last_key.empty() && share(this->random) < calls.resend_share) {
    return this->last_key;
  }
  this->last_key = this->run + "-" + std::to_string(this->random());
  return this->last_key;
}

}  // namespace lentilhead::load
