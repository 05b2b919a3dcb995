#pragma once

#include <set>
#include <string>
#include <vector>

#include "config_check/types/config_document.h"
#include "config_check/types/finding.h"

namespace lentilhead::config_check::internal {

/// Finds routes that no request can use, and times that cannot hold together.
class RouteChecker {
 public:
  explicit RouteChecker(const ConfigDocument& document) : document(document) {}

  /// Adds the findings on all routes.
  void AddTo(std::vector<Finding>& findings) const;

 private:
  void CheckMatch(const gateway::Route& route, const std::string& place,
                  std::set<std::string>& seen, std::vector<Finding>& findings) const;
  void CheckServices(const gateway::Route& route, const std::string& place,
                     std::vector<Finding>& findings) const;
  static void CheckTimes(const gateway::Route& route, const std::string& place,
                         std::vector<Finding>& findings);

  const ConfigDocument& document;
};

}  // namespace lentilhead::config_check::internal
