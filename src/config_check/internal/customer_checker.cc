#include "config_check/internal/customer_checker.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace lentilhead::config_check::internal {

using Kind = Finding::Kind;

void CustomerChecker::AddTo(std::vector<Finding>& findings) const {
  std::set<std::string> names;
  std::map<std::string, std::string> holders;  // by API key
  for (std::size_t index = 0; index < this->document.customers.size(); ++index) {
    const auto& [customer, api_keys] = this->document.customers[index];
    const std::string& name = customer.name;
    const std::string place =
        name.empty() ? "customer at position " + std::to_string(index) : "customer " + name;
    const auto add = [&](Kind kind, const std::string& reason) {
      findings.push_back({kind, place, reason});
    };
    if (name.empty()) {
      add(Kind::kNeverMatches, "the customer has no name, so nodes pass over the entry");
      continue;
    }
    if (!names.insert(name).second) {
      add(Kind::kNeverMatches, "an earlier customer has the same name");
      continue;
    }
    if (api_keys.empty()) {
      add(Kind::kNeverMatches, "the customer has no API key");
    }
    for (const std::string& key : api_keys) {
      const auto [holder, is_new] = holders.try_emplace(key, name);
      if (!is_new) {
        add(Kind::kNeverMatches, holder->second == name
                                     ? "an API key is listed twice"
                                     : "an API key is already held by '" + holder->second + "'");
      }
    }
    if (customer.burst > 0 && !customer.HasQuota()) {
      add(Kind::kContradiction, "the burst has no rate");
    }
  }
  const auto& routes = this->document.config.routes;
  const bool all_anonymous =
      !routes.empty() && std::all_of(routes.begin(), routes.end(),
                                     [](const gateway::Route& route) { return route.anonymous; });
  if (all_anonymous && !this->document.customers.empty()) {
    findings.push_back(
        {Kind::kNeverMatches, "customers", "all routes are anonymous, so no key is ever read"});
  }
}

}  // namespace lentilhead::config_check::internal
