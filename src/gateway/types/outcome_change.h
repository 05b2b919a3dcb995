#pragma once

#include <string>

namespace lentilhead::gateway {

/// Whether most online requests of a period were served, where that differs from before or lasts.
struct OutcomeChange {
  bool is_serving = true;  ///< at least half of the requests were served
  int served = 0;
  int unserved = 0;    ///< refused, failed, cut, or left by their callers
  std::string reason;  ///< the most frequent one of these
};

}  // namespace lentilhead::gateway
