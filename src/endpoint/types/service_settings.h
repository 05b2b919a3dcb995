#pragma once

#include <string>
#include <vector>

namespace lentilhead::endpoint {

enum class ServiceKind { kModel, kPlain };

/// Calls of a plain service that must not run more than once.
struct NonRepeatableCall {
  std::string method;
  std::string path;  ///< Exact path, or a prefix that ends in `/`.
};

/// Settings `[[service]]` of one service.
struct ServiceSettings {
  std::string name;                        ///< `name`
  ServiceKind kind = ServiceKind::kModel;  ///< `kind` = "model" | "plain"
  bool fencing_checked = false;  ///< `fencing_checked`; endpoints refuse older fencing tokens.
  bool resumable = true;         ///< `resumable`
  int slots = 8;                 ///< `slots`, slots of an endpoint that has not reported
  std::vector<NonRepeatableCall> non_repeatable;  ///< `non_repeatable` = ["POST /promise"]

  /// True if a call must not run more than once.
  [[nodiscard]] bool IsNonRepeatable(const std::string& method, const std::string& path) const;
};

}  // namespace lentilhead::endpoint
