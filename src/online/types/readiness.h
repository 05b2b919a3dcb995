#pragma once

namespace lentilhead::online {

/// Whether the balancer should send requests to this instance. kLeaving: the instance is shutting
/// down or drained by an operator.
enum class Readiness { kNotReady, kReady, kLeaving };

/// Name of a readiness in snake_case, as reported by `/health`.
const char* NameOf(Readiness readiness);

}  // namespace lentilhead::online
