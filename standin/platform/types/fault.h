#pragma once

#include <chrono>

namespace lentilhead::standin {

enum class FaultTarget { kTable, kObjects, kList, kWeights };

/// Faults of one service of the simulated platform.
struct Fault {
  bool down = false;                   ///< Connections are closed; requests have no effect.
  std::chrono::milliseconds delay{0};  ///< Delay before a request is executed and answered.
  int lose_answers = 0;  ///< Number of next writes that are executed but not answered.
};

}  // namespace lentilhead::standin
