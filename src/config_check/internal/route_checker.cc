#include "config_check/internal/route_checker.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string_view>

namespace lentilhead::config_check::internal {

namespace {

using std::chrono::milliseconds;
using Kind = Finding::Kind;

// The shortest request line and Host header, besides the path and the host.
constexpr std::string_view kShortestHead = "GET  HTTP/1.1\r\nHost: \r\n\r\n";

std::string Text(milliseconds span) { return std::to_string(span.count()) + " ms"; }

}  // namespace

void RouteChecker::CheckMatch(const gateway::Route& route, const std::string& place,
                              std::set<std::string>& seen, std::vector<Finding>& findings) const {
  const std::string& prefix = route.path_prefix;
  if (!prefix.starts_with('/') || !prefix.ends_with('/')) {
    findings.push_back({Kind::kError, place,
                        "the path prefix '" + prefix + "' does not begin and end with a slash"});
  }
  // Nodes compare hosts without their port.
  if (route.host.empty() ||
      (route.host.back() != ']' && route.host.rfind(':') != std::string::npos)) {
    findings.push_back(
        {Kind::kNeverMatches, place, "the host '" + route.host + "' is empty or has a port"});
  }
  if (!seen.insert(route.host + ' ' + prefix).second) {
    findings.push_back({Kind::kNeverMatches, place,
                        "an earlier route has the same host and path prefix '" + prefix + "'"});
  }
  const std::size_t head = kShortestHead.size() + prefix.size() + route.host.size();
  if (head > this->document.config.limits.header_bytes) {
    findings.push_back({Kind::kContradiction, place,
                        "the limit on headers is below the " + std::to_string(head) +
                            " bytes that a request of this route needs"});
  }
}

void RouteChecker::CheckServices(const gateway::Route& route, const std::string& place,
                                 std::vector<Finding>& findings) const {
  if (route.services.empty()) {
    findings.push_back({Kind::kError, place, "the route names no service"});
  }
  const std::vector<std::string>& services = this->document.services;
  for (const gateway::ServiceShare& share : route.services) {
    if (std::find(services.begin(), services.end(), share.service) == services.end()) {
      findings.push_back(
          {Kind::kError, place, "the service '" + share.service + "' is not listed"});
    }
  }
}

void RouteChecker::CheckTimes(const gateway::Route& route, const std::string& place,
                              std::vector<Finding>& findings) {
  const bool is_batch = route.kind == gateway::RouteKind::kBatch;
  const bool is_stream = route.kind == gateway::RouteKind::kStream;
  const auto add = [&](Kind kind, const std::string& reason) {
    findings.push_back({kind, place, reason});
  };
  if (!is_batch && route.timeout && route.target_latency > *route.timeout) {
    add(Kind::kContradiction, "the time-out of " + Text(*route.timeout) +
                                  " is below the latency objective of " +
                                  Text(route.target_latency));
  }
  if (is_stream && route.event_gap && route.timeout && *route.event_gap > *route.timeout) {
    add(Kind::kContradiction, "the time-out of " + Text(*route.timeout) +
                                  " is below the objective between events of " +
                                  Text(*route.event_gap));
  }
  if (is_batch && route.give_up_after > milliseconds(0) &&
      route.results_due > route.give_up_after) {
    add(Kind::kContradiction, "results are due after " + Text(route.results_due) +
                                  ", but items are given up after " + Text(route.give_up_after));
  }
  if (!is_stream && route.event_gap) {
    add(Kind::kNeverMatches, "the objective between events applies to streams only");
  }
  if (!is_stream && route.resumable) {
    add(Kind::kNeverMatches, "only streams can be resumed");
  }
  const bool has_batch_terms = route.results_due > milliseconds(0) ||
                               route.give_up_after > milliseconds(0) ||
                               route.max_waiting_tokens > 0;
  if (!is_batch && has_batch_terms) {
    add(Kind::kNeverMatches,
        "the due time, the longest wait and the token limit apply to batch jobs only");
  }
}

void RouteChecker::AddTo(std::vector<Finding>& findings) const {
  std::set<std::string> seen;
  for (std::size_t index = 0; index < this->document.config.routes.size(); ++index) {
    const gateway::Route& route = this->document.config.routes[index];
    const std::string place = "routes[" + std::to_string(index) + "]";
    this->CheckMatch(route, place, seen, findings);
    this->CheckServices(route, place, findings);
    CheckTimes(route, place, findings);
  }
}

}  // namespace lentilhead::config_check::internal
