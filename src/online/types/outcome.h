#pragma once

namespace lentilhead::online {

/// Whether an endpoint ran a request, as far as is known.
enum class Outcome {
  kCompleted,  ///< The endpoint's whole answer was received.
  kNotRun,     ///< No endpoint can have run the request.
  kUnknown,    ///< An endpoint may have run the request.
};

/// Name of an outcome in snake_case, for errors, headers and counters.
const char* NameOf(Outcome outcome);

}  // namespace lentilhead::online
