#include <algorithm>

#include "customers/quota_gate.h"
#include "customers/types/quota_times.h"

namespace lentilhead::customers {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRepeatPeriod{70};  // of a report that is not confirmed
// Usage that the second counting node does not know yet is what it lacks if the first one is lost.
constexpr milliseconds kSecondPeriod{300};
constexpr milliseconds kSilentAfter{250};
constexpr milliseconds kProbePeriod{500};  // of a counting node that does not answer
constexpr milliseconds kLostAfter{20000};  // then others are asked in its place
constexpr std::size_t kMaxAsks = 60;       // keeps a datagram below 1,200 bytes

}  // namespace

void QuotaGate::UpdateRanking(std::uint32_t customer, Entry& entry) {
  if (entry.ranking_version == this->nodes.Version()) {
    return;
  }
  entry.ranking_version = this->nodes.Version();
  const std::optional<NodeKey> primary = this->Primary(entry);
  entry.ranking = this->nodes.Rank(customer);
  std::vector<Report> reports;
  for (const NodeKey node : entry.ranking.reported) {
    const auto known = std::find_if(entry.reports.begin(), entry.reports.end(),
                                    [&](const Report& report) { return report.node == node; });
    reports.push_back(known != entry.reports.end() ? *known : Report{node, 0, 0, {}, true});
  }
  entry.reports = std::move(reports);
  if (this->Primary(entry) != primary) {
    entry.is_free = false;
  }
}

bool QuotaGate::IsSilent(NodeKey node) const {
  const auto link = this->links.find(node);
  return link != this->links.end() && link->second.IsSilent();
}

std::optional<NodeKey> QuotaGate::Primary(const Entry& entry) const {
  for (const NodeKey node : entry.ranking.asked) {
    if (!this->IsSilent(node)) {
      return node;
    }
  }
  return std::nullopt;
}

std::optional<NodeKey> QuotaGate::NextToAsk(const Entry& entry) const {
  for (const NodeKey node : entry.ranking.asked) {
    const auto& sent = entry.question->sent;
    const bool was_asked =
        std::any_of(sent.begin(), sent.end(), [&](const auto& item) { return item.first == node; });
    if (!was_asked && !this->IsSilent(node)) {
      return node;
    }
  }
  return std::nullopt;
}

void QuotaGate::Ask(Entry& entry, net::SteadyTime now) {
  entry.question->sent.emplace_back(*this->NextToAsk(entry), 0);
  entry.question->asked = now;
  entry.question->is_due = true;
}

void QuotaGate::NoteHeard(const QuotaReply& reply, net::SteadyTime now) {
  Link& link = this->links[reply.node];
  link.unanswered_since = {};
  if (link.IsSilent()) {
    link.silent_since = {};
    this->nodes.SetLost(reply.node, false);
    this->events.push_back({QuotaEvent::Kind::kCounterReachable, 0, reply.node});
  }
  if (link.start != reply.start) {
    link.start = reply.start;
    this->StopFree(reply.node);
    for (auto& [customer, entry] : this->entries) {
      for (Report& report : entry.reports) {
        report.is_confirmed = report.is_confirmed && report.node != reply.node;
      }
    }
  }
  static_cast<void>(now);
}

void QuotaGate::CheckLinks(net::SteadyTime now) {
  std::size_t silent = 0;
  bool has_new = false;
  for (auto& [node, link] : this->links) {
    const bool is_unanswered =
        link.unanswered_since != net::SteadyTime{} && now - link.unanswered_since >= kSilentAfter;
    if (!link.IsSilent() && is_unanswered) {
      this->StopFree(node);
      link.silent_since = now;
      has_new = true;
      this->events.push_back({QuotaEvent::Kind::kCounterSilent, 0, node});
    }
    silent += link.IsSilent() ? 1 : 0;
    if (link.IsSilent() && now - link.silent_since >= kLostAfter) {
      this->nodes.SetLost(node, true);
    }
  }
  if (has_new && silent > 1) {
    this->StopFree(std::nullopt);  // this node may be cut off, and miss notices
  }
}

bool QuotaGate::IsReportDue(const Entry& entry, const Report& report, net::SteadyTime now) const {
  const auto age = now - report.sent;
  const bool is_first = this->Primary(entry) == report.node;
  if (entry.used != report.used) {
    return is_first || age >= kSecondPeriod;
  }
  if (!report.is_confirmed) {
    return age >= kRepeatPeriod;
  }
  return entry.must_confirm ||
         (!entry.is_free && now - entry.last_request < QuotaTimes::kRecentDemand &&
          age >= QuotaTimes::Heartbeat(this->nodes.Count()));
}

bool QuotaGate::IsIdle(const Entry& entry, net::SteadyTime now) const {
  const bool is_reported = std::all_of(
      entry.reports.begin(), entry.reports.end(),
      [&](const Report& report) { return report.is_confirmed && report.used == entry.used; });
  const bool needs_heartbeat =
      !entry.is_free && now - entry.last_request < QuotaTimes::kRecentDemand;
  return entry.waiting.empty() && is_reported && !needs_heartbeat && !entry.is_limiting;
}

void QuotaGate::Add(std::map<NodeKey, QuotaRequest>& messages, NodeKey node, std::uint32_t customer,
                    Entry& entry, int wanted, net::SteadyTime now) {
  const auto [item, is_new] = messages.try_emplace(node);
  QuotaRequest& request = item->second;
  if (is_new) {
    request = {this->self, this->start, ++this->sequence, {}};
  }
  // Cumulative reports to the second counting node need no answer, but a silent one is probed.
  const bool wants_answer = wanted > 0 || this->IsSilent(node) || this->Primary(entry) == node;
  request.asks.push_back({customer, entry.used, wanted, entry.recent.Sum(now),
                          wanted > 0 ? std::exchange(entry.held, 0) : 0, entry.is_free,
                          wants_answer, now < this->late_until && wanted > 0});
  for (Report& report : entry.reports) {
    if (report.node == node) {
      report.used = entry.used;
      report.sequence = request.sequence;
      report.sent = now;
      report.is_confirmed = !wants_answer;
    }
  }
  Link& link = this->links[node];
  if (wants_answer && link.unanswered_since == net::SteadyTime{} && node != this->self) {
    link.unanswered_since = now;
  }
  link.probed = now;
  if (wanted > 0) {
    entry.question->sent.back().second = request.sequence;
    entry.question->used = entry.used;
    entry.question->is_due = false;
  }
}

std::vector<QuotaGate::Message> QuotaGate::TakeMessages(net::SteadyTime now) {
  std::map<NodeKey, QuotaRequest> messages;
  std::set<NodeKey> probed;
  for (auto customer = this->active.begin(); customer != this->active.end();) {
    Entry& entry = this->entries[*customer];
    this->UpdateRanking(*customer, entry);
    if (entry.question && entry.question->is_due) {
      this->Add(messages, entry.question->sent.back().first, *customer, entry,
                static_cast<int>(entry.question->wanted), now);
    }
    for (const Report& report : entry.reports) {
      const auto& question = entry.question;
      const bool is_asked =
          question && std::any_of(question->sent.begin(), question->sent.end(),
                                  [&](const auto& item) { return item.first == report.node; });
      if (is_asked || !this->IsReportDue(entry, report, now)) {
        continue;
      }
      const Link& link = this->links[report.node];
      const bool may_send =
          !link.IsSilent() || now - link.probed >= kProbePeriod || probed.contains(report.node);
      const auto message = messages.find(report.node);
      const bool is_full = message != messages.end() && message->second.asks.size() >= kMaxAsks;
      if (may_send && !is_full) {
        probed.insert(report.node);
        this->Add(messages, report.node, *customer, entry, 0, now);
      }
    }
    entry.must_confirm = false;
    const bool is_idle = this->IsIdle(entry, now);
    if (is_idle && !entry.is_free) {
      entry.share = 0;  // the counting nodes hear no more of this node and reserve nothing for it
    }
    customer = is_idle ? this->active.erase(customer) : std::next(customer);
  }
  return {messages.begin(), messages.end()};
}

}  // namespace lentilhead::customers
