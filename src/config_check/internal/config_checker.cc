#include "config_check/config_checker.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>

#include "config_check/internal/customer_checker.h"
#include "config_check/internal/route_checker.h"

namespace lentilhead::config_check {

namespace {

bool IsUsed(const gateway::ServingConfig& config, const std::string& service) {
  return std::any_of(config.routes.begin(), config.routes.end(), [&](const gateway::Route& route) {
    return std::any_of(
        route.services.begin(), route.services.end(),
        [&](const gateway::ServiceShare& share) { return share.service == service; });
  });
}

}  // namespace

std::vector<Finding> ConfigChecker::Check(const ConfigDocument& document) {
  std::vector<Finding> findings;
  internal::RouteChecker(document).AddTo(findings);
  std::set<std::string> seen;
  for (std::size_t index = 0; index < document.services.size(); ++index) {
    const std::string& service = document.services[index];
    if (service.empty()) {
      continue;
    }
    const std::string place = "services[" + std::to_string(index) + "]";
    if (!seen.insert(service).second) {
      findings.push_back(
          {Finding::Kind::kError, place, "the service '" + service + "' is listed twice"});
    } else if (!IsUsed(document.config, service)) {
      findings.push_back(
          {Finding::Kind::kNeverMatches, place, "no route uses the service '" + service + "'"});
    }
  }
  internal::CustomerChecker(document).AddTo(findings);
  return findings;
}

}  // namespace lentilhead::config_check
