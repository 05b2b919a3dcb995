#pragma once

#include <string>

namespace lentilhead::gateway {

/// What an attempt demands of the endpoint that runs it.
struct AttemptTarget {
  std::string endpoint_id;     ///< no other endpoint may run it
  bool names_version = false;  ///< only certain weights may run it
};

}  // namespace lentilhead::gateway
