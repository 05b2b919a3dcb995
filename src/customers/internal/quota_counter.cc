#include "customers/quota_counter.h"

#include <algorithm>
#include <cmath>

#include "customers/types/quota_times.h"

namespace lentilhead::customers {

namespace {

using std::chrono::milliseconds;

// A counting node that has counted for less may lack the usage of the 5 s before.
constexpr milliseconds kYoungTime{5000};
// Lets a customer with few requests go on at once after a start.
constexpr double kFirstRequests = 5;
// After a stall nodes report within half a second, or when they probe again.
constexpr milliseconds kStallYoungTime{1500};
// Below this fullness nodes ask first. What nodes admit before a notice reaches them fits into it.
// For a customer with few requests room for a few is enough.
constexpr double kNearFullness = 0.5;
constexpr double kNearRequests = 4;
constexpr double kNearSeconds = 0.5;  // of the rate
constexpr double kNearBurst = 0.25;   // of the burst
constexpr double kFarDistance = 0.15;
// Nodes that are refused hold back for so long that about this many times the room is asked for.
constexpr double kAskedPerRoom = 1.2;
constexpr milliseconds kMaxHold{1000};
// Bounds the notices of a customer whose demand varies around its quota.
constexpr milliseconds kMinNearTime{10000};
constexpr int kNotices = 3;  // because some datagrams are lost
constexpr milliseconds kNoticePeriod{60};
constexpr milliseconds kReviewPeriod{50};
constexpr double kDemandSeconds = 10;      // time constant of the decaying counts
constexpr milliseconds kReportDelay{600};  // of usage that is reported to the second one
constexpr milliseconds kForgetTime{60000};
constexpr double kMaxReserved = 0.95;
constexpr milliseconds kMaxRetryAfter{2000};

}  // namespace

void QuotaCounter::SetQuotas(std::unordered_map<std::uint32_t, Quota> changed,
                             net::SteadyTime now) {
  this->quotas = std::move(changed);
  std::erase_if(this->counts, [&](const auto& item) { return !this->quotas.contains(item.first); });
  for (auto& [customer, count] : this->counts) {
    const Quota& quota = this->quotas[customer];
    if (count.window.Current() != quota) {
      count.window.SetQuota(quota, now);
      count.next_room = now;
    }
  }
}

void QuotaCounter::BeginYoung(Count& count, milliseconds time, double first, net::SteadyTime now) {
  count.window.BeginYoung(time, first);
  if (!count.is_near) {
    count.is_near = true;
    count.near_since = now - kMinNearTime + time;
  }
}

void QuotaCounter::NoteStall(net::SteadyTime now) {
  for (auto& [customer, count] : this->counts) {
    count.window.Advance(now);
    BeginYoung(count, kStallYoungTime, 0, now);
    count.next_notice = now;
    count.notices_left = kNotices;
  }
}

QuotaCounter::Count& QuotaCounter::CountOf(std::uint32_t customer, const Quota& quota,
                                           const CountingNodes& nodes, net::SteadyTime now) {
  const auto known = this->counts.find(customer);
  if (known != this->counts.end()) {
    return known->second;
  }
  // A node that was the customer's counting node for all the time without a message about it knows
  // that the customer has sent nothing.
  const bool knows_usage = now - this->started >= kYoungTime && nodes.IsAsked(this->self, customer);
  Count count{QuotaWindow(quota, now)};
  if (!knows_usage) {
    BeginYoung(count, kYoungTime, kFirstRequests, now);
  }
  count.reviewed = now;
  count.next_room = now;
  return this->counts.emplace(customer, std::move(count)).first->second;
}

void QuotaCounter::Review(Count& count, std::size_t nodes, net::SteadyTime now) {
  if (now - count.reviewed >= kReviewPeriod) {
    const double seconds = std::chrono::duration<double>(now - count.reviewed).count();
    const double kept = std::exp(-seconds / kDemandSeconds);
    count.reviewed = now;
    count.demand = 0;
    count.reserved = 0;
    std::erase_if(count.reporters,
                  [&](const auto& item) { return now - item.second.heard > kForgetTime; });
    for (auto& [node, reporter] : count.reporters) {
      reporter.demand *= kept;
      count.demand += reporter.demand;
      const auto silence = now - reporter.heard;
      // A node without requests of the customer ends its messages in order.
      const bool has_ended =
          reporter.heard - reporter.last_demand >
          QuotaTimes::kRecentDemand - QuotaTimes::Heartbeat(nodes) * 3 / 2 - kReportDelay;
      if (count.is_near && !has_ended && silence > QuotaTimes::Silence(nodes) &&
          silence < QuotaTimes::ReservedUntil(nodes)) {
        count.reserved += reporter.promised;
      }
    }
    count.reserved = std::min(count.reserved, kMaxReserved);
  }
  count.window.Advance(now, 1 - count.reserved);
}

void QuotaCounter::ChargeReport(Count& count, Reporter& reporter, bool is_new,
                                const QuotaRequest& request, const QuotaAsk& ask,
                                net::SteadyTime now) {
  double charge = static_cast<double>(ask.used - reporter.known);
  if (is_new) {
    // The node reported to others before, or this node has forgotten its old usage.
    count.window.ChargePast(ask.recent);
    charge = 0;
  } else if (reporter.start != request.start) {
    charge = static_cast<double>(ask.used);
  }
  count.window.Charge(charge);
  const double requests = std::max(0.0, charge) + ask.wanted + ask.held;
  if (requests > 0) {
    reporter.last_demand = now;
  }
  reporter.demand += requests;
  count.demand += requests;
  reporter.start = request.start;
  reporter.sequence = request.sequence;
  reporter.known = ask.used;
  reporter.is_free = ask.is_free;
  reporter.heard = now;
}

void QuotaCounter::UpdateNear(Count& count, net::SteadyTime now) {
  const Quota& quota = count.window.Current();
  const double capacity = quota.WindowLimit();
  const double near =
      std::min(kNearFullness * capacity,
               std::max(kNearRequests, kNearSeconds * quota.rate + kNearBurst * quota.burst));
  const double level = count.window.Room();
  if (!count.is_near && level < near) {
    count.is_near = true;
    count.near_since = now;
    count.next_notice = now;
    count.notices_left = kNotices;
  } else if (count.is_near && level > near + kFarDistance * capacity &&
             now - count.near_since >= kMinNearTime) {
    count.is_near = false;
  }
}

milliseconds QuotaCounter::RetryAfter(Count& count, int refused, net::SteadyTime now) {
  // Refused callers are told different times, one request apart, so that they don't all come back
  // for the first place.
  const double rate = count.window.Current().rate;
  const milliseconds until_room = count.window.UntilRoom(1);
  count.next_room = std::max(count.next_room, now + until_room);
  const milliseconds wait = net::ToMilliseconds(count.next_room - now);
  const milliseconds spacing(static_cast<std::int64_t>(std::ceil(1000.0 * refused / rate)));
  count.next_room = std::min(count.next_room + spacing, now + kMaxRetryAfter);
  return std::max(wait, until_room);
}

milliseconds QuotaCounter::HoldOf(Count& count, net::SteadyTime now) {
  // Refused nodes are released as room for them comes: together they would ask far more than there
  // is room for, late they would leave it unused.
  while (!count.releases.empty() && count.releases.front() <= now) {
    count.releases.pop_front();
  }
  const double wanted = 1 + static_cast<double>(count.releases.size()) / kAskedPerRoom;
  const milliseconds hold = std::min(count.window.UntilRoom(wanted), kMaxHold);
  const auto release = now + hold;
  count.releases.insert(std::upper_bound(count.releases.begin(), count.releases.end(), release),
                        release);
  return hold;
}

void QuotaCounter::Answer(const QuotaRequest& request, const QuotaAsk& ask,
                          const CountingNodes& nodes, net::SteadyTime now, QuotaReply& reply) {
  QuotaAnswer answer;
  answer.customer = ask.customer;
  const auto quota = this->quotas.find(ask.customer);
  if (quota == this->quotas.end()) {  // not limited by the configuration of this node
    answer.granted = ask.wanted;
    answer.must_ask = false;
    reply.answers.push_back(answer);
    return;
  }
  Count& count = this->CountOf(ask.customer, quota->second, nodes, now);
  Review(count, nodes.Count(), now);  // forgets reporters that have not been heard
  const auto [item, is_new] = count.reporters.try_emplace(request.node);
  Reporter& reporter = item->second;
  if (!is_new && reporter.start == request.start && request.sequence <= reporter.sequence) {
    return;  // a newer message arrived first
  }
  ChargeReport(count, reporter, is_new, request, ask, now);
  if (ask.wanted == 0 && !ask.wants_answer) {
    UpdateNear(count, now);
    return;
  }
  answer.granted = ask.is_late ? count.window.TakeLate(ask.wanted) : count.window.Take(ask.wanted);
  reporter.known += answer.granted;
  UpdateNear(count, now);
  answer.must_ask = count.is_near;
  answer.is_young = count.window.IsYoung();
  if (answer.granted < ask.wanted) {
    answer.retry_after = RetryAfter(count, ask.wanted - answer.granted, now);
    answer.hold = HoldOf(count, now);
  }
  answer.share = count.demand > 0 ? std::min(1.0, reporter.demand / count.demand) : 0;
  answer.demand = count.demand / kDemandSeconds;
  reporter.promised = answer.share;
  reply.answers.push_back(answer);
}

QuotaReply QuotaCounter::Handle(const QuotaRequest& request, const CountingNodes& nodes,
                                net::SteadyTime now) {
  QuotaReply reply{this->self, this->start, request.sequence, {}};
  for (const QuotaAsk& ask : request.asks) {
    this->Answer(request, ask, nodes, now, reply);
  }
  return reply;
}

std::vector<std::pair<NodeKey, QuotaReply>> QuotaCounter::DueNotices(net::SteadyTime now) {
  std::map<NodeKey, QuotaReply> notices;
  for (auto& [customer, count] : this->counts) {
    if (count.notices_left == 0 || now < count.next_notice) {
      continue;
    }
    --count.notices_left;
    count.next_notice = now + kNoticePeriod;
    for (auto& [node, reporter] : count.reporters) {
      if (reporter.is_free) {
        QuotaAnswer answer;
        answer.customer = customer;
        answer.share = reporter.promised;
        answer.demand = count.demand / kDemandSeconds;
        auto& notice = notices.try_emplace(node, this->Announcement()).first->second;
        notice.answers.push_back(answer);
      }
    }
  }
  return {notices.begin(), notices.end()};
}

}  // namespace lentilhead::customers
