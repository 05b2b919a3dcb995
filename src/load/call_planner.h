#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "load/types/call_plan.h"
#include "load/types/workload.h"

namespace lentilhead::load {

/// Builds the calls of a workload from a seed.
class CallPlanner {
 public:
  /// @param run identifier of the run, contained in every prompt and idempotency key.
  CallPlanner(std::string run, std::uint64_t seed);

  /// Builds a call. @param url base URL of the entry. @param key API key of the caller.
  CallPlan Plan(const Workload& workload, const std::string& url, const std::string& key);

 private:
  CallPlan PlanModelCall(const Workload& workload, const ModelWorkload& calls);
  CallPlan PlanPlainCall(const Workload& workload, const PlainWorkload& calls);
  std::string NextIdempotencyKey(const PlainWorkload& calls);

  std::string run;
  std::mt19937_64 random;
  std::uint64_t next_call = 0;
  std::string last_key;
};

/// Returns the text with which a stand-in engine answers a chat of one user message.
std::string ExpectedText(const std::string& user_message, int tokens);

}  // namespace lentilhead::load
