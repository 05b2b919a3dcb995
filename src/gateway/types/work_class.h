#pragma once

namespace lentilhead::gateway {

/// Class of work at an endpoint.
enum class WorkClass {
  kOnline,  ///< an interactive caller waits
  kBatch,   ///< gives way to online work
};

}  // namespace lentilhead::gateway
