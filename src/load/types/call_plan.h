#pragma once

#include <string>

#include "framework/types/http_message.h"

namespace lentilhead::load {

/// Online call and its expected answer.
struct CallPlan {
  framework::HttpRequest request;
  bool stream = false;
  std::string expected_text;    ///< Complete text of a model's answer; empty for plain services.
  std::string idempotency_key;  ///< Key of a plain call; empty without one.
};

}  // namespace lentilhead::load
