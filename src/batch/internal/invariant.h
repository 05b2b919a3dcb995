#pragma once

#include <functional>

namespace lentilhead::batch::internal {

/// Receives the name of a violated invariant.
using ViolationHandler = std::function<void(const char* invariant)>;

/// Replaces the handler of violations, for tests. The default handler logs the violation and aborts
/// the process, because continuing could store a wrong result. Not thread safe. @return the
/// previous handler.
ViolationHandler OnViolation(ViolationHandler handler);

/// Calls the handler of violations if an invariant does not hold.
void Require(bool holds, const char* invariant);

}  // namespace lentilhead::batch::internal
