#pragma once

namespace lentilhead::online::internal {

/// Properties that must always hold for answers.
enum class Invariant {
  kOneFinalAnswer,    ///< A request gets exactly one final answer.
  kNotRunDidNotRun,   ///< No endpoint ran a request that is answered with `not_run`.
  kOneSendPerIntent,  ///< A call is sent at most once for each intent.
  kOwnBytesOnly,      ///< An answer contains no bytes of another answer.
};

/// Name of an invariant in snake_case.
const char* NameOf(Invariant invariant);

/// Thrown when an invariant is violated.
struct InvariantViolation {
  Invariant invariant;
};

/// Logs and throws InvariantViolation unless the condition holds.
void Require(bool condition, Invariant invariant);

}  // namespace lentilhead::online::internal
