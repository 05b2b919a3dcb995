#include "customers/quota_gate.h"

#include <algorithm>

#include "customers/types/quota_times.h"

namespace lentilhead::customers {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAnswerTimeout{60};  // above the pauses of a node with 0.12 of a core
constexpr milliseconds kMinRetryAfter{20};
constexpr milliseconds kShareRetryAfter{500};
constexpr milliseconds kLimitingEnd{5000};
constexpr milliseconds kLateTime{200};  // after a stall, to read what callers have sent meanwhile
// Before a node has the list of nodes, it takes the fleet for a large one.
constexpr std::size_t kAssumedNodes = 350;
// Nodes of an isolated part of the fleet whose shares are no longer reserved. If they are less than
// half of the fleet, they use less than the tenth that the bound leaves.
constexpr double kUnreservedShare = 0.15;

}  // namespace

void QuotaGate::SetQuotas(const std::unordered_map<std::uint32_t, Quota>& quotas) {
  // The usage from before a quota ended must not be charged if there is one again.
  std::erase_if(this->entries, [&](const auto& item) {
    return !quotas.contains(item.first) && item.second.waiting.empty();
  });
  std::erase_if(this->active,
                [this](std::uint32_t customer) { return !this->entries.contains(customer); });
  for (auto& [customer, entry] : this->entries) {
    const auto found = quotas.find(customer);
    const Quota changed = found == quotas.end() ? Quota{} : found->second;
    if (entry.quota != changed) {
      entry.quota = changed;
      entry.is_free = false;
      entry.held_until = {};
    }
  }
}

QuotaGate::Entry& QuotaGate::EntryOf(std::uint32_t customer, const Quota& quota) {
  Entry& entry = this->entries[customer];
  if (entry.quota != quota) {
    entry.quota = quota;
    entry.is_free = false;
    entry.held_until = {};
  }
  return entry;
}

QuotaGate::Verdict QuotaGate::Request(std::uint32_t customer, const Quota& quota,
                                      net::SteadyTime now) {
  Entry& entry = this->EntryOf(customer, quota);
  entry.last_request = now;
  if (entry.is_free && now >= this->late_until) {
    this->active.insert(customer);
    ++entry.used;
    entry.recent.Add(1, now);
    return QuotaDecision{true, QuotaDecider::kNode, milliseconds(0), entry.demand};
  }
  if (now < entry.held_until) {
    ++entry.held;
    this->NoteRefusal(customer, entry, now);
    const milliseconds wait = net::ToMilliseconds(std::max(entry.held_until, entry.room_at) - now);
    return QuotaDecision{false, QuotaDecider::kNode, std::max(wait, kMinRetryAfter), entry.demand};
  }
  this->active.insert(customer);
  entry.waiting.push_back(++this->last_ticket);
  return this->last_ticket;
}

void QuotaGate::GiveBack(std::uint32_t customer) {
  const auto found = this->entries.find(customer);
  if (found != this->entries.end()) {
    --found->second.used;
    this->active.insert(customer);
  }
}

void QuotaGate::NoteStall(net::SteadyTime now) {
  this->late_until = now + kLateTime;
  for (auto& [customer, entry] : this->entries) {
    entry.is_free = false;
    entry.held_until = {};
    entry.question.reset();
  }
  for (auto& [node, link] : this->links) {
    link.unanswered_since = {};
  }
}

void QuotaGate::StopFree(std::optional<NodeKey> counting_node) {
  for (auto& [customer, entry] : this->entries) {
    if (!counting_node || this->Primary(entry) == counting_node) {
      entry.is_free = false;
    }
  }
}

void QuotaGate::NoteRefusal(std::uint32_t customer, Entry& entry, net::SteadyTime now) {
  entry.last_refusal = now;
  this->active.insert(customer);
  if (!std::exchange(entry.is_limiting, true)) {
    this->events.push_back({QuotaEvent::Kind::kLimitingBegan, customer});
  }
}

void QuotaGate::Resolve(std::uint32_t customer, Entry& entry, std::size_t count,
                        QuotaDecision decision, net::SteadyTime now,
                        std::vector<Resolution>& resolutions) {
  count = std::min(count, entry.waiting.size());
  decision.demand = entry.demand;
  for (std::size_t index = 0; index < count; ++index) {
    resolutions.emplace_back(entry.waiting[index], decision);
  }
  entry.waiting.erase(entry.waiting.begin(),
                      entry.waiting.begin() + static_cast<std::ptrdiff_t>(count));
  if (entry.question) {
    entry.question->wanted -= std::min(entry.question->wanted, count);
  }
  if (decision.is_admitted) {
    entry.used += static_cast<std::int64_t>(count);
    entry.recent.Add(static_cast<int>(count), now);
  } else if (count > 0) {
    this->NoteRefusal(customer, entry, now);
  }
}

void QuotaGate::HandleGrant(std::uint32_t customer, Entry& entry, const QuotaReply& reply,
                            const QuotaAnswer& answer, net::SteadyTime now,
                            std::vector<Resolution>& resolutions) {
  Question& question = *entry.question;
  const auto granted = static_cast<std::size_t>(answer.granted);
  const bool is_whole = granted <= question.wanted && entry.used == question.used;
  this->Resolve(customer, entry, std::min(granted, question.wanted), {true, QuotaDecider::kCounter},
                now, resolutions);
  for (Report& report : entry.reports) {
    if (is_whole && report.node == reply.node) {
      report.used = entry.used;  // the counting node has charged what it granted
    }
  }
  if (question.wanted > 0 && answer.is_young && this->NextToAsk(entry)) {
    this->Ask(entry, now);  // the other one may know more
    return;
  }
  if (question.wanted > 0) {
    entry.held_until = now + answer.hold;
    entry.room_at = now + answer.retry_after;
    this->Resolve(customer, entry, question.wanted,
                  {false, QuotaDecider::kCounter, std::max(answer.retry_after, kMinRetryAfter)},
                  now, resolutions);
  }
  entry.question.reset();
}

void QuotaGate::HandleAnswer(const QuotaReply& reply, const QuotaAnswer& answer,
                             net::SteadyTime now, std::vector<Resolution>& resolutions) {
  const auto found = this->entries.find(answer.customer);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  this->active.insert(answer.customer);
  if (reply.sequence == 0) {  // a notice
    entry.is_free = false;
    entry.must_confirm = true;
    return;
  }
  entry.last_answer = now;
  entry.was_free = !answer.must_ask;
  entry.share = answer.share;
  entry.demand = answer.demand;
  if (std::exchange(entry.has_fallen_back, false)) {
    this->events.push_back({QuotaEvent::Kind::kRecovered, answer.customer});
  }
  bool is_newest = true;
  for (Report& report : entry.reports) {
    if (report.node == reply.node) {
      is_newest = reply.sequence >= report.sequence;
      report.is_confirmed = report.is_confirmed || is_newest;
    }
  }
  if (is_newest && this->Primary(entry) == reply.node) {
    entry.is_free = !answer.must_ask;
  }
  if (entry.question) {
    const auto& sent = entry.question->sent;
    const bool is_answer =
        std::find(sent.begin(), sent.end(), std::pair(reply.node, reply.sequence)) != sent.end();
    if (is_answer) {
      this->HandleGrant(answer.customer, entry, reply, answer, now, resolutions);
    }
  }
}

std::vector<QuotaGate::Resolution> QuotaGate::Handle(const QuotaReply& reply, net::SteadyTime now) {
  this->NoteHeard(reply, now);
  std::vector<Resolution> resolutions;
  for (const QuotaAnswer& answer : reply.answers) {
    this->HandleAnswer(reply, answer, now, resolutions);
  }
  return resolutions;
}

double QuotaGate::FallbackRate(const Entry& entry, net::SteadyTime now) const {
  const std::size_t listed = this->nodes.Count();
  const std::size_t count = listed == 0 ? kAssumedNodes : listed;
  const double equal = entry.quota.rate / static_cast<double>(count);
  if (!entry.share) {
    return equal;
  }
  const auto silence = now - entry.last_answer;
  if (silence < QuotaTimes::Silence(count)) {
    return entry.was_free ? *entry.share * entry.quota.rate : 0;
  }
  if (silence < QuotaTimes::ReservedUntil(count)) {
    return *entry.share * entry.quota.rate;
  }
  return kUnreservedShare * equal;
}

void QuotaGate::FallBack(std::uint32_t customer, Entry& entry, net::SteadyTime now,
                         std::vector<Resolution>& resolutions) {
  entry.question.reset();
  const double rate = this->FallbackRate(entry, now);
  if (!std::exchange(entry.has_fallen_back, true)) {
    this->events.push_back({QuotaEvent::Kind::kFellBack, customer});
    entry.share_level = entry.was_free ? 1 : 0;
    entry.share_filled = now;
  }
  const double seconds = std::chrono::duration<double>(now - entry.share_filled).count();
  entry.share_level = std::min(std::max(1.0, rate), entry.share_level + rate * seconds);
  entry.share_filled = now;
  const auto admitted = std::min(entry.waiting.size(), static_cast<std::size_t>(entry.share_level));
  entry.share_level -= static_cast<double>(admitted);
  this->Resolve(customer, entry, admitted, {true, QuotaDecider::kShare}, now, resolutions);
  this->Resolve(customer, entry, entry.waiting.size(),
                {false, QuotaDecider::kShare, kShareRetryAfter}, now, resolutions);
}

void QuotaGate::TickEntry(std::uint32_t customer, Entry& entry, net::SteadyTime now,
                          std::vector<Resolution>& resolutions) {
  this->UpdateRanking(customer, entry);
  if (entry.is_limiting && now - entry.last_refusal >= kLimitingEnd) {
    entry.is_limiting = false;
    this->events.push_back({QuotaEvent::Kind::kLimitingEnded, customer});
  }
  if (entry.waiting.empty()) {
    return;
  }
  if (now < entry.held_until) {
    const milliseconds wait = net::ToMilliseconds(std::max(entry.held_until, entry.room_at) - now);
    const std::size_t asked = entry.question ? entry.question->wanted : 0;
    if (asked == 0) {
      this->Resolve(customer, entry, entry.waiting.size(),
                    {false, QuotaDecider::kNode, std::max(wait, kMinRetryAfter)}, now, resolutions);
      return;
    }
  }
  if (entry.question) {
    if (entry.question->is_due || now - entry.question->asked < kAnswerTimeout) {
      return;
    }
    this->events.push_back(
        {QuotaEvent::Kind::kTimedOut, customer, entry.question->sent.back().first});
  } else {
    entry.question = Question{};
    entry.question->wanted = entry.waiting.size();
  }
  if (this->NextToAsk(entry)) {
    this->Ask(entry, now);
  } else {
    this->FallBack(customer, entry, now, resolutions);
  }
}

std::vector<QuotaGate::Resolution> QuotaGate::Tick(net::SteadyTime now) {
  std::vector<Resolution> resolutions;
  this->nodes.Settle(now);
  this->CheckLinks(now);
  for (const std::uint32_t customer : this->active) {
    this->TickEntry(customer, this->entries[customer], now, resolutions);
  }
  return resolutions;
}

}  // namespace lentilhead::customers
