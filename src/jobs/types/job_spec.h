#pragma once

#include <string>
#include <utility>
#include <vector>

namespace lentilhead::jobs {

/// One request of a batch job.
struct ItemSpec {
  std::string id;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// The requests of a batch job, in the order of the submission.
struct JobSpec {
  std::vector<ItemSpec> items;
};

}  // namespace lentilhead::jobs
