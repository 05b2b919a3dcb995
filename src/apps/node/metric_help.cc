#include "apps/node/metric_help.h"

#include <utility>

namespace lentilhead::node {

namespace {

constexpr std::pair<const char*, const char*> kHelp[] = {
    {"gateway_requests_total", "Online requests by final outcome and its reason."},
    {"gateway_request_seconds", "Time from arrival to the final outcome, in seconds."},
    {"gateway_first_event_seconds",
     "Time from arrival to the first event of a stream, in seconds."},
    {"gateway_attempt_failures_total", "Attempts at endpoints that failed, by cause."},
    {"gateway_not_executed_total",
     "Attempts that an endpoint refused without running the request, by status."},
    {"gateway_stale_connections_total",
     "Attempts repeated because the endpoint had closed the idle connection."},
    {"job_results_total", "Results of batch items that were stored durably."},
    {"job_items_yielded_total", "Attempts of batch items that were preempted for online requests."},
    {"node_requests_at_work", "Requests in flight: received and not answered yet."},
    {"node_jobs_owned", "Batch jobs that this node owns."},
    {"node_peers_alive", "Nodes that are alive and not leaving, including this one."},
    {"node_store_served", "1 while the store serves this node, else 0."},
    {"node_config_version", "Version of the active configuration, -1 before the first."},
    {"node_log_lines_suppressed",
     "Log lines dropped since the start, because of the rate limit or a slow reader."},
};

}  // namespace

void DescribeMetrics(framework::Metrics& metrics) {
  for (const auto& [name, help] : kHelp) {
    metrics.Describe(name, help);
  }
}

}  // namespace lentilhead::node
