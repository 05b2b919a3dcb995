#include "gateway/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "gateway/endpoint_registry.h"
#include "net/log_line.h"

namespace lentilhead::gateway {

namespace {

constexpr double kTenths = 10;
constexpr double kEjectionFailureRate = 0.2;  // ordinary lost and broken answers stay below 0.1
constexpr double kMinFailures = 2.5;          // fewer may come from single connections
constexpr double kOtherZonesWeight = 2.0;     // of their failure rate, in attempts of the own zone

int ToTenths(double count) { return static_cast<int>(std::lround(count * kTenths)); }

}  // namespace

FailureReport OutlierDetector::OwnReport(const Endpoints& endpoints, net::SteadyTime now) const {
  FailureReport report{this->zone, {}, {}};
  std::map<std::uint32_t, double> attempts;
  for (const auto& [id, state] : endpoints) {
    attempts[HashKey(state->entry.service)] += state->attempts.At(now);
    if (const int tenths = ToTenths(state->failures.At(now)); tenths > 0) {
      report.failures.push_back({state->key, tenths});
    }
  }
  for (const auto& [service, count] : attempts) {
    if (const int tenths = ToTenths(count); tenths > 0) {
      report.attempts.push_back({service, tenths});
    }
  }
  return report;
}

void OutlierDetector::SetPeerReport(const std::string& peer, FailureReport report) {
  FailureReport& stored = this->reports[peer];
  for (const KeyedCount& count : stored.attempts) {
    this->peer_attempts[count.key] -= count.tenths / kTenths;
  }
  stored = std::move(report);
  for (const KeyedCount& count : stored.attempts) {
    this->peer_attempts[count.key] += count.tenths / kTenths;
  }
  if (stored.zone.empty()) {
    this->reports.erase(peer);
  }
}

double OutlierDetector::PeerRequestRate(const std::string& service) const {
  const auto found = this->peer_attempts.find(HashKey(service));
  if (found == this->peer_attempts.end()) {
    return 0;
  }
  return std::max(0.0, found->second) * std::numbers::ln2 /
         std::chrono::duration<double>(DecayingCount::kHalfLife).count();
}

void OutlierDetector::Add(CountsByKey& sums, const std::vector<KeyedCount>& counts, bool own_zone) {
  for (const KeyedCount& count : counts) {
    ZoneCounts& sum = sums[count.key];
    (own_zone ? sum.own_zone : sum.other_zones) += count.tenths / kTenths;
  }
}

double OutlierDetector::FailureRate(const ZoneCounts& failures, const ZoneCounts& attempts) {
  const double elsewhere =
      failures.other_zones == 0
          ? 0
          : failures.other_zones / std::max(attempts.other_zones, failures.other_zones);
  return (failures.own_zone + kOtherZonesWeight * elsewhere) /
         (std::max(attempts.own_zone, failures.own_zone) + kOtherZonesWeight);
}

void OutlierDetector::UpdateEjections(const Endpoints& endpoints, net::SteadyTime now) const {
  CountsByKey attempts;
  CountsByKey failures;
  const FailureReport own = this->OwnReport(endpoints, now);
  Add(attempts, own.attempts, true);
  Add(failures, own.failures, true);
  for (const auto& [peer, report] : this->reports) {
    Add(attempts, report.attempts, report.zone == this->zone);
    Add(failures, report.failures, report.zone == this->zone);
  }
  std::map<std::uint32_t, int> endpoints_of;
  for (const auto& [id, state] : endpoints) {
    ++endpoints_of[HashKey(state->entry.service)];
  }
  for (const auto& [id, state] : endpoints) {
    const ZoneCounts& failed = failures[state->key];
    const std::uint32_t service = HashKey(state->entry.service);
    ZoneCounts expected = attempts[service];
    expected.own_zone /= endpoints_of[service];
    expected.other_zones /= endpoints_of[service];
    const double failure_rate = FailureRate(failed, expected);
    const bool ejected =
        failure_rate > kEjectionFailureRate && failed.own_zone + failed.other_zones >= kMinFailures;
    if (ejected != state->ejected) {
      net::LogLine(ejected ? "endpoint_doubted" : "endpoint_trusted")
          .With("endpoint", id)
          .With("share", failure_rate)
          .With("failures", failed.own_zone)
          .With("failures_other_zones", failed.other_zones)
          .With("attempts", expected.own_zone)
          .With("peers", this->reports.size());
    }
    state->ejected = ejected;
  }
}

}  // namespace lentilhead::gateway
