#pragma once

namespace lentilhead::gateway {

/// Class of a request at an endpoint.
enum class WorkClass {
  kOnline,  ///< a caller waits for the answer
  kBatch,   ///< preempted by online work
};

}  // namespace lentilhead::gateway
