#include "gateway/fleet_demand.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

constexpr double kTenths = 10;
// Nodes send a message every 300 ms at least; one of these may be lost.
constexpr milliseconds kSilentPeer{700};
// A node that is silent for longer is gone, and its share is free.
constexpr milliseconds kPeerMemory{30000};
constexpr milliseconds kBatchWorkLifetime{1000};
constexpr double kBatchWorkWeight = 1;  // as requests per second
constexpr double kNoDemandWeight = 0.01;
constexpr double kMinRequests = 0.05;  // per second, of a node that has asked at least once
constexpr double kForgottenCount = 0.001;

double RateOf(double decaying_count) {
  return decaying_count * std::numbers::ln2 /
         std::chrono::duration<double>(DecayingCount::kHalfLife).count();
}

}  // namespace

void FleetDemand::RecordRequest(std::uint32_t service, net::SteadyTime now) {
  this->requests[service].Add(now);
}

bool FleetDemand::RecordPeer(const std::string& name, const std::string& start, bool is_leaving,
                             const LimitReport& report, net::SteadyTime now) {
  Peer& peer = this->peers[name];
  const bool has_started = std::exchange(peer.start, start) != start;
  peer.heard_at = now;
  peer.is_leaving = is_leaving;
  if (!report.IsEmpty()) {
    peer.requests.clear();
    for (const KeyedCount& count : report.demand) {
      peer.requests[count.key] = RateOf(count.tenths / kTenths);
    }
    peer.batch_work = report.batch_work;
  }
  return has_started;
}

void FleetDemand::AddTo(LimitReport& report, net::SteadyTime now) const {
  for (const auto& [service, count] : this->requests) {
    const int tenths = static_cast<int>(std::lround(count.At(now) * kTenths));
    if (tenths > 0) {
      report.demand.push_back({service, tenths});
    }
  }
  report.batch_work = this->OwnBatchWork(now);
}

void FleetDemand::Prune(net::SteadyTime now) {
  std::erase_if(this->peers, [&](const auto& item) {
    const Peer& peer = item.second;
    return now - peer.heard_at >= kPeerMemory || (peer.is_leaving && !IsHeard(peer, now));
  });
  std::erase_if(this->requests,
                [&](const auto& item) { return item.second.At(now) < kForgottenCount; });
}

bool FleetDemand::IsHeard(const Peer& peer, net::SteadyTime now) {
  return now - peer.heard_at < kSilentPeer;
}

double FleetDemand::Weight(double requests, bool has_batch_work) {
  return requests + (has_batch_work ? kBatchWorkWeight : kNoDemandWeight);
}

std::vector<std::uint32_t> FleetDemand::OwnBatchWork(net::SteadyTime now) const {
  std::vector<std::uint32_t> services;
  for (const auto& [service, time] : this->batch_work) {
    if (now - time < kBatchWorkLifetime) {
      services.push_back(service);
    }
  }
  return services;
}

double FleetDemand::HeardShare(net::SteadyTime now) const {
  const double own = std::accumulate(
      this->requests.begin(), this->requests.end(), 0.0,
      [&](double sum, const auto& item) { return sum + RateOf(item.second.At(now)); });
  double heard = Weight(own, !this->OwnBatchWork(now).empty());
  double silent = 0;
  for (const auto& [name, peer] : this->peers) {
    const double rate =
        std::accumulate(peer.requests.begin(), peer.requests.end(), 0.0,
                        [](double sum, const auto& item) { return sum + item.second; });
    (IsHeard(peer, now) ? heard : silent) += Weight(rate, !peer.batch_work.empty());
  }
  return heard / (heard + silent);
}

double FleetDemand::OwnRequests(std::uint32_t service, net::SteadyTime now) const {
  const auto found = this->requests.find(service);
  return found == this->requests.end() ? 0 : std::max(kMinRequests, RateOf(found->second.At(now)));
}

double FleetDemand::OnlineShare(std::uint32_t service, net::SteadyTime now) const {
  const double own = this->OwnRequests(service, now);
  double all = own;
  for (const auto& [name, peer] : this->peers) {
    if (const auto rate = peer.requests.find(service);
        rate != peer.requests.end() && IsHeard(peer, now)) {
      all += rate->second;
    }
  }
  return all == 0 ? 1 : own / all;
}

double FleetDemand::OnlineTurn(std::uint32_t service, milliseconds period,
                               net::SteadyTime now) const {
  const double seconds = std::chrono::duration<double>(period).count();
  const double own = this->OwnRequests(service, now);
  const double chance_of_requests = own == 0 ? 1 : 1 - std::exp(-own * seconds);
  return this->OnlineShare(service, now) / chance_of_requests;
}

double FleetDemand::BatchTurn(std::uint32_t service, net::SteadyTime now) const {
  const auto others = std::count_if(this->peers.begin(), this->peers.end(), [&](const auto& item) {
    const std::vector<std::uint32_t>& work = item.second.batch_work;
    return IsHeard(item.second, now) && std::find(work.begin(), work.end(), service) != work.end();
  });
  return 1 / static_cast<double>(1 + others);
}

}  // namespace lentilhead::gateway
