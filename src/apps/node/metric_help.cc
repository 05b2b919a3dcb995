#include "apps/node/metric_help.h"

#include <utility>

namespace lentilhead::node {

namespace {

constexpr std::pair<const char*, const char*> kHelp[] = {
    {"gateway_admission_total", "Requests that got a slot or were refused for want of one."},
    {"gateway_requests_total", "Online requests by final outcome and its reason."},
    {"gateway_request_seconds", "Time from arrival to the final outcome, in seconds."},
    {"gateway_first_event_seconds",
     "Time from arrival to the first event of a stream, in seconds."},
    {"gateway_attempt_failures_total", "Attempts at endpoints that failed, by cause."},
    {"gateway_answers_ended_total", "Answers of served requests, by what their end was known by."},
    {"gateway_answer_ends_believed_total",
     "Answers without framing taken for whole, by the sign that the endpoint was alive."},
    {"gateway_answer_ends_unproven_total",
     "Answers without framing taken for broken off, by cause."},
    {"gateway_endpoints_leaving_total",
     "Endpoints found to be leaving before the list said so, by source."},
    {"gateway_endpoints_limited",
     "Endpoints that name a limit on the requests of all nodes together."},
    {"gateway_endpoints_cut_off",
     "Endpoints that this node is cut off from while peers reach them."},
    {"gateway_path_changes_total", "Changes of what this node is cut off from, by scope."},
    {"gateway_relay_connections_total",
     "Connections to endpoints asked of peers, by what became of them."},
    {"node_relay_connections", "Connections of peers to endpoints that this node carries."},
    {"node_relay_requests_total", "Requests of peers for such connections, by outcome."},
    {"gateway_limit_changes_total", "Changes of these limits, by change."},
    {"gateway_quota_requests_total",
     "Requests of customers with a quota, by outcome and who decided."},
    {"gateway_quota_messages_total", "Messages about quotas, by kind."},
    {"gateway_not_executed_total", "Attempts that an endpoint turned down, by status."},
    {"gateway_placed_by_work_total", "Attempts at services placed by work left, by reason."},
    {"gateway_streams_not_continued_total",
     "Streamed answers ended where something else than the next event followed, by cause."},
    {"gateway_stray_bytes_total",
     "Times that an endpoint sent bytes that belong to no answer expected, by place."},
    {"job_results_total", "Results of batch items that became durable."},
    {"gateway_slow_readers_ended_total",
     "Connections closed because the caller read too slowly, by cause."},
    {"gateway_reads_paused_total",
     "Answers that were forwarded in parts, as the memory budget had no room for more."},
    {"node_held_bytes", "Bytes held for connections whose other side has not taken them yet."},
    {"node_held_bytes_limit", "Limit on these bytes."},
    {"gateway_parts_held", "Parts of prompts whose requests are held back."},
    {"job_items_held_total", "Times that an item was put off because a part of it is held."},
    {"job_item_starts_held_total", "Batch items that were not started in a free slot, by reason."},
    {"job_item_starts_total", "Runs of batch items started at services placed by work, by reason."},
    {"job_items_yielded_total", "Runs of batch items that were ended for online requests."},
    {"job_submissions_total", "Submitted batch jobs by outcome."},
    {"job_waiting_tokens", "Tokens of accepted batch items without a result, by route."},
    {"job_waiting_tokens_limit", "Limit on these tokens by route, 0 for none."},
    {"node_requests_at_work", "Requests that are read and not answered yet."},
    {"node_jobs_owned", "Batch jobs that this node owns."},
    {"node_peers_alive", "Nodes that are heard of and do not leave, this one included."},
    {"node_store_served", "1 while the store answers this node, else 0."},
    {"node_config_version", "Version of the configuration in force, -1 before the first."},
    {"node_log_lines_suppressed",
     "Log lines dropped since the start, by the bound or a slow reader."},
};

}  // namespace

void DescribeMetrics(framework::Metrics& metrics) {
  for (const auto& [name, help] : kHelp) {
    metrics.Describe(name, help);
  }
}

}  // namespace lentilhead::node
