#include "gateway/endpoint_limits.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <numeric>

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

constexpr double kTenths = 10;
constexpr milliseconds kMinPeriod{40};
// Nodes that are heard send a message every 300 ms at least; one of these may be lost.
constexpr milliseconds kSilentPeer{700};
// A node that is silent for longer is gone, and its share is free.
constexpr milliseconds kPeerMemory{30000};
constexpr milliseconds kBatchWorkLifetime{1000};
constexpr milliseconds kRecentChanges{3000};
// A limit that ended is kept for this time, so that late reports do not name it anew.
constexpr milliseconds kEndedMemory{30000};
constexpr std::chrono::minutes kUnusedMemory{10};  // of a limit that no node asks for
constexpr double kBatchWorkWeight = 1;             // demand of a node that has batch items waiting
constexpr double kMinDemand = 0.05;                // of a node that has asked at least once
constexpr double kNoDemandWeight = 0.01;
// Share of what is left that all nodes together take in a period, on average. With more of it the
// requests that several nodes send in the same moment exceed the limit more often.
constexpr double kTakenPerPeriod = 0.6;

double RateOf(double decaying_count) {
  return decaying_count * std::numbers::ln2 /
         std::chrono::duration<double>(DecayingCount::kHalfLife).count();
}

/// Returns a number of at least 0 and below 1 that is the same for the same values.
double Draw(const std::array<std::uint64_t, 4>& values) {
  constexpr double kRange = 4294967296.0;
  return XXH32(values.data(), sizeof(values), 0) / kRange;
}

}  // namespace

double EndpointLimits::Peer::Weight() const {
  double weight = this->batch_work.empty() ? kNoDemandWeight : kBatchWorkWeight;
  for (const auto& [service, rate] : this->demand) {
    weight += rate;
  }
  return weight;
}

void EndpointLimits::SetNewsDelay(milliseconds delay) {
  this->period = std::max(kMinPeriod, delay);
}

std::uint64_t EndpointLimits::PeriodAt(net::SteadyTime now) const {
  return static_cast<std::uint64_t>(now.time_since_epoch() / this->period);
}

EndpointLimits::Entry& EndpointLimits::EntryOf(std::uint32_t incarnation, net::SteadyTime now) {
  return this->entries.try_emplace(incarnation, Entry{SharedLimit(now)}).first->second;
}

const SharedLimit* EndpointLimits::Find(std::uint32_t incarnation) const {
  const auto found = this->entries.find(incarnation);
  return found == this->entries.end() ? nullptr : &found->second.limit;
}

double EndpointLimits::LimitOf(std::uint32_t incarnation) const {
  const SharedLimit* limit = this->Find(incarnation);
  return limit == nullptr ? 0 : limit->Limit();
}

bool EndpointLimits::IsLimited(std::uint32_t incarnation) const {
  return this->LimitOf(incarnation) > 0;
}

std::vector<std::uint32_t> EndpointLimits::Limited() const {
  std::vector<std::uint32_t> limited;
  for (const auto& [incarnation, entry] : this->entries) {
    if (entry.limit.IsActive()) {
      limited.push_back(incarnation);
    }
  }
  return limited;
}

std::size_t EndpointLimits::LimitedCount() const {
  return static_cast<std::size_t>(
      std::count_if(this->entries.begin(), this->entries.end(),
                    [](const auto& item) { return item.second.limit.IsActive(); }));
}

int EndpointLimits::SharedBy(std::uint32_t incarnation) const {
  const auto found = this->shared_by.find(incarnation);
  return found == this->shared_by.end() ? 1 : std::max(1, found->second);
}

void EndpointLimits::Forget(std::uint32_t incarnation) {
  this->entries.erase(incarnation);
  this->shared_by.erase(incarnation);
}

bool EndpointLimits::IsHeard(const Peer& peer, net::SteadyTime now) {
  return now - peer.heard_at < kSilentPeer;
}

std::vector<std::uint32_t> EndpointLimits::BatchWork(net::SteadyTime now) const {
  std::vector<std::uint32_t> services;
  for (const auto& [service, time] : this->batch_work) {
    if (now - time < kBatchWorkLifetime) {
      services.push_back(service);
    }
  }
  return services;
}

double EndpointLimits::OwnWeight(net::SteadyTime now) const {
  double weight = this->BatchWork(now).empty() ? kNoDemandWeight : kBatchWorkWeight;
  for (const auto& [service, count] : this->demand) {
    weight += RateOf(count.At(now));
  }
  return weight;
}

double EndpointLimits::HeardShare(net::SteadyTime now) const {
  double heard = this->OwnWeight(now);
  double silent = 0;
  for (const auto& [name, peer] : this->peers) {
    (IsHeard(peer, now) ? heard : silent) += peer.Weight();
  }
  return heard / (heard + silent);
}

void EndpointLimits::UpdateShares(net::SteadyTime now) {
  if (this->entries.empty()) {
    return;
  }
  const double heard = this->HeardShare(now);
  for (auto& [incarnation, entry] : this->entries) {
    entry.limit.SetShare(heard / this->SharedBy(incarnation), now);
  }
}

double EndpointLimits::OwnDemand(std::uint32_t service, net::SteadyTime now) const {
  const auto found = this->demand.find(service);
  return found == this->demand.end() ? 0 : std::max(kMinDemand, RateOf(found->second.At(now)));
}

double EndpointLimits::DemandShare(std::uint32_t service, net::SteadyTime now) const {
  const double own = this->OwnDemand(service, now);
  double all = own;
  for (const auto& [name, peer] : this->peers) {
    if (const auto rate = peer.demand.find(service);
        rate != peer.demand.end() && IsHeard(peer, now)) {
      all += rate->second;
    }
  }
  return all == 0 ? 1 : own / all;
}

double EndpointLimits::OnlineTurn(std::uint32_t service, net::SteadyTime now) const {
  const double seconds = std::chrono::duration<double>(this->period).count();
  const double own = this->OwnDemand(service, now);
  const double has_requests = own == 0 ? 1 : 1 - std::exp(-own * seconds);
  return kTakenPerPeriod * this->DemandShare(service, now) / has_requests;
}

double EndpointLimits::BatchTurn(std::uint32_t service, net::SteadyTime now) const {
  const auto others = std::count_if(this->peers.begin(), this->peers.end(), [&](const auto& item) {
    const std::vector<std::uint32_t>& work = item.second.batch_work;
    return IsHeard(item.second, now) && std::find(work.begin(), work.end(), service) != work.end();
  });
  return kTakenPerPeriod / static_cast<double>(1 + others);
}

bool EndpointLimits::MaySend(std::uint32_t incarnation, std::uint32_t service, WorkClass work,
                             net::SteadyTime now) const {
  const auto found = this->entries.find(incarnation);
  if (found == this->entries.end() || !found->second.limit.IsActive()) {
    return true;
  }
  const Entry& entry = found->second;
  const bool is_batch = work == WorkClass::kBatch;
  const std::uint64_t current = this->PeriodAt(now);
  const int taken = entry.period == current ? entry.taken : 0;
  const double reserved = is_batch ? (entry.limit.Capacity() - 1) / 2 : 0;
  const double left = entry.limit.LevelAt(now) + taken - reserved;
  if (left < 1) {
    return false;
  }
  const double turn = is_batch ? this->BatchTurn(service, now) : this->OnlineTurn(service, now);
  const double draw = Draw({this->seed, incarnation, current, is_batch ? 1U : 0U});
  return taken < std::floor(std::min(left * turn + draw, left));
}

std::optional<double> EndpointLimits::OwnRate(std::uint32_t incarnation, std::uint32_t service,
                                              net::SteadyTime now) const {
  const auto found = this->entries.find(incarnation);
  if (found == this->entries.end() || !found->second.limit.IsActive()) {
    return std::nullopt;
  }
  return found->second.limit.Limit() * this->HeardShare(now) / this->SharedBy(incarnation) *
         this->DemandShare(service, now);
}

void EndpointLimits::TellNews() const {
  if (this->on_news) {
    this->on_news();
  }
}

LimitChange EndpointLimits::RecordNamed(std::uint32_t incarnation, double limit,
                                        net::SteadyTime sent_at, net::SteadyTime now) {
  const LimitChange change = this->EntryOf(incarnation, now).limit.RecordNamed(limit, sent_at, now);
  this->UpdateShares(now);
  if (change != LimitChange::kNone) {
    this->TellNews();
  }
  return change;
}

LimitChange EndpointLimits::RecordUnnamed(std::uint32_t incarnation, net::SteadyTime sent_at,
                                          net::SteadyTime now) {
  const auto found = this->entries.find(incarnation);
  if (found == this->entries.end() || !found->second.limit.IsActive()) {
    return LimitChange::kNone;
  }
  const LimitChange change = found->second.limit.RecordUnnamed(sent_at, now);
  this->TellNews();
  return change;
}

LimitChange EndpointLimits::RecordAnswer(std::uint32_t incarnation, const LimitNotice& notice,
                                         net::SteadyTime sent_at, net::SteadyTime now) {
  struct Visitor {
    EndpointLimits& limits;
    std::uint32_t incarnation;
    net::SteadyTime sent_at;
    net::SteadyTime now;

    LimitChange operator()(const NoLimitNamed&) const {
      return this->limits.RecordUnnamed(this->incarnation, this->sent_at, this->now);
    }
    LimitChange operator()(const LimitUnreadable&) const { return LimitChange::kNone; }
    LimitChange operator()(const LimitNamed& named) const {
      return this->limits.RecordNamed(this->incarnation, named.requests_per_second, this->sent_at,
                                      this->now);
    }
  };
  return std::visit(Visitor{*this, incarnation, sent_at, now}, notice);
}

void EndpointLimits::RecordSent(std::uint32_t incarnation, net::SteadyTime now) {
  const auto found = this->entries.find(incarnation);
  if (found == this->entries.end() || !found->second.limit.IsActive()) {
    return;
  }
  Entry& entry = found->second;
  const std::uint64_t current = this->PeriodAt(now);
  entry.taken = entry.period == current ? entry.taken + 1 : 1;
  entry.period = current;
  entry.limit.RecordSent(now);
}

void EndpointLimits::RecordDemand(std::uint32_t service, net::SteadyTime now) {
  this->demand[service].Add(now);
}

LimitReport EndpointLimits::Report(Scope scope, net::SteadyTime now) const {
  LimitReport report;
  for (const auto& [incarnation, entry] : this->entries) {
    const net::SteadyTime changed = entry.limit.ChangedAt();
    const bool is_due = scope == Scope::kAll || changed >= this->reported_at ||
                        (scope == Scope::kRecent && now - changed < kRecentChanges);
    if (is_due && entry.limit.IsWorthReporting()) {
      report.endpoints.push_back(entry.limit.Report(incarnation, now));
    }
  }
  if (this->LimitedCount() == 0) {
    return report;
  }
  for (const auto& [service, count] : this->demand) {
    const int tenths = static_cast<int>(std::lround(count.At(now) * kTenths));
    if (tenths > 0) {
      report.demand.push_back({service, tenths});
    }
  }
  report.batch_work = this->BatchWork(now);
  return report;
}

std::vector<EndpointLimits::Change> EndpointLimits::Merge(const std::string& name,
                                                          const std::string& start, bool is_leaving,
                                                          const LimitReport& report,
                                                          net::SteadyTime now) {
  std::vector<Change> changes;
  Peer& peer = this->peers[name];
  if (std::exchange(peer.start, start) != start) {
    for (auto& [incarnation, entry] : this->entries) {
      entry.limit.RemovePeer(name);
    }
  }
  peer.heard_at = now;
  peer.is_leaving = is_leaving;
  if (!report.IsEmpty()) {
    peer.demand.clear();
    for (const KeyedCount& count : report.demand) {
      peer.demand[count.key] = RateOf(count.tenths / kTenths);
    }
    peer.batch_work = report.batch_work;
  }
  for (const EndpointLimitReport& endpoint : report.endpoints) {
    const bool is_known = this->entries.contains(endpoint.incarnation);
    if (!is_known && endpoint.limit <= 0) {
      continue;
    }
    SharedLimit& limit = this->EntryOf(endpoint.incarnation, now).limit;
    if (const LimitChange change = limit.Merge(name, endpoint, now); change != LimitChange::kNone) {
      changes.emplace_back(endpoint.incarnation, change);
    }
  }
  this->UpdateShares(now);
  return changes;
}

std::vector<EndpointLimits::Change> EndpointLimits::Prune(net::SteadyTime now) {
  std::vector<Change> changes;
  std::erase_if(this->peers, [&](const auto& item) {
    const Peer& peer = item.second;
    return now - peer.heard_at >= kPeerMemory || (peer.is_leaving && !IsHeard(peer, now));
  });
  this->UpdateShares(now);
  for (auto& [incarnation, entry] : this->entries) {
    if (const LimitChange change = entry.limit.CheckEnd(now); change != LimitChange::kNone) {
      changes.emplace_back(incarnation, change);
    }
  }
  std::erase_if(this->entries, [&](const auto& item) {
    const SharedLimit& limit = item.second.limit;
    const net::SteadyTime used = std::max(limit.NamedAt(), limit.ChangedAt());
    return now - used >= (limit.IsActive() ? kUnusedMemory : kEndedMemory);
  });
  std::erase_if(this->demand, [&](const auto& item) { return item.second.At(now) < 0.001; });
  return changes;
}

}  // namespace lentilhead::gateway
