#include "gateway/endpoint_limits.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinPeriod{40};
constexpr milliseconds kRecentChanges{3000};
// A limit that ended is kept for this time, so that late reports do not name it anew.
constexpr milliseconds kEndedMemory{30000};
constexpr std::chrono::minutes kUnusedMemory{10};  // of a limit that no node asks for
// Share of what is left that all nodes together take in a period, on average. With more of it the
// requests that several nodes send in the same moment exceed the limit more often.
constexpr double kTakenPerPeriod = 0.6;

constexpr double kHashRange = 4294967296.0;

/// Returns a number of at least 0 and below 1 that is the same for the same values.
double Draw(const std::array<std::uint64_t, 4>& values) {
  return XXH32(values.data(), sizeof(values), 0) / kHashRange;
}

}  // namespace

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

void EndpointLimits::UpdateShares(net::SteadyTime now) {
  if (this->entries.empty()) {
    return;
  }
  const double heard = this->demand.HeardShare(now);
  for (auto& [incarnation, entry] : this->entries) {
    entry.limit.SetShare(heard / this->SharedBy(incarnation), now);
  }
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
  const double turn =
      kTakenPerPeriod * (is_batch ? this->demand.BatchTurn(service, now)
                                  : this->demand.OnlineTurn(service, this->period, now));
  const double draw = Draw({this->seed, incarnation, current, is_batch ? 1U : 0U});
  return taken < std::floor(std::min(left * turn + draw, left));
}

std::optional<double> EndpointLimits::OwnRate(std::uint32_t incarnation, std::uint32_t service,
                                              net::SteadyTime now) const {
  const auto found = this->entries.find(incarnation);
  if (found == this->entries.end() || !found->second.limit.IsActive()) {
    return std::nullopt;
  }
  return found->second.limit.Limit() * this->demand.HeardShare(now) / this->SharedBy(incarnation) *
         this->demand.OnlineShare(service, now);
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
  if (this->LimitedCount() > 0) {
    this->demand.AddTo(report, now);
  }
  return report;
}

std::vector<EndpointLimits::Change> EndpointLimits::Merge(const std::string& name,
                                                          const std::string& start, bool is_leaving,
                                                          const LimitReport& report,
                                                          net::SteadyTime now) {
  std::vector<Change> changes;
  if (this->demand.RecordPeer(name, start, is_leaving, report, now)) {
    for (auto& [incarnation, entry] : this->entries) {
      entry.limit.RemovePeer(name);
    }
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
  this->demand.Prune(now);
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
  return changes;
}

}  // namespace lentilhead::gateway
