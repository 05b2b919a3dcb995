#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "gateway/types/prompt_keys.h"
#include "placement/types/stated_cost.h"

namespace lentilhead::jobs {

/// One request of a batch job.
struct ItemSpec {
  std::string id;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::int64_t tokens = 0;  ///< tokens of the prompt plus the most that the item may generate
  gateway::PromptKeys keys;
  placement::StatedCost cost;
};

/// The requests of a batch job, in the order of the submission.
struct JobSpec {
  std::vector<ItemSpec> items;
};

}  // namespace lentilhead::jobs
