#pragma once

namespace lentilhead::jobs {

/// What a node knows of the route of a job.
enum class RouteState {
  kPresent,  ///< the active configuration has the route
  kMissing,  ///< the active configuration lacks the route
  kUnknown,  ///< the node has no configuration that could have the route
};

}  // namespace lentilhead::jobs
