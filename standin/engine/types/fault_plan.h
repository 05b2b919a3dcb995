#pragma once

namespace lentilhead::standin {

/// Faults that tests inject into an engine.
struct FaultPlan {
  int fail_next = 0;         ///< Number of next requests that fail with 500 after admission.
  int hang_next = 0;         ///< Number of next requests that are admitted but never answered.
  int refuse_next = 0;       ///< Number of next requests that are refused as busy.
  int cut_after_tokens = 0;  ///< Tokens after which the connection is aborted; 0 for never.
  int cut_next = -1;         ///< Number of next answers to abort; negative for all.
  double slow_factor = 1;    ///< Factor for the prefill time and the token interval.
};

}  // namespace lentilhead::standin
