#pragma once

#include <chrono>
#include <cstddef>

#include "framework/types/time_types.h"

namespace lentilhead::online::internal {

/// Limits and permissions of the attempts of one request.
struct AttemptPolicy {
  bool streamed = false;     ///< The caller asked for a stream of events.
  bool resumable = false;    ///< A broken stream may be resumed after the text that was forwarded.
  bool repeatable = true;    ///< May be retried although an attempt may have run.
  bool single_send = false;  ///< Retried only if no byte of it has been sent.
  bool engine = true;        ///< Sent to a model engine; see Classify().
  int max_attempts = 4;
  std::size_t max_answer_bytes = 8 << 20;
  std::chrono::milliseconds first_delay{20};
  std::chrono::milliseconds longest_delay{1'000};
  framework::MonotonicTime deadline;
};

}  // namespace lentilhead::online::internal
