#include "admission/fair_shares.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <limits>
#include <numeric>

namespace lentilhead::admission {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReportLifetime{1500};
// Part of the slots up to which customers at the level may fill them. Customers below the level may
// also use the places in the endpoints' queues, where they wait for less than 0.1 s.
constexpr double kSharedSlots = 0.97;
// Below this part of the slots nobody is restricted, whatever the level.
constexpr double kUncrowded = 0.8;
// Part by which a customer's use may have grown at other nodes since they were heard.
constexpr double kUnseenGrowth = 0.2;
// Part of a customer's share that is divided equally over the nodes; the rest goes to those that
// its callers reach.
constexpr double kEvenPart = 0.5;
constexpr milliseconds kDitherPeriod{100};  // about the time within which nodes hear of each other

/// Returns the level at which the uses, cut off there, have the given sum.
double LevelOf(std::vector<double> uses, double sum) {
  std::sort(uses.begin(), uses.end());
  double left = sum;
  for (std::size_t rank = 0; rank < uses.size(); ++rank) {
    const double level = left / static_cast<double>(uses.size() - rank);
    if (level <= uses[rank]) {
      return level;
    }
    left -= uses[rank];
  }
  return uses.empty() ? sum : uses.back() + left;
}

}  // namespace

void FairShares::RecordStart(std::uint32_t service, std::uint32_t customer) {
  ++this->own[service][customer];
}

void FairShares::RecordEnd(std::uint32_t service, std::uint32_t customer) {
  std::map<std::uint32_t, int>& uses = this->own[service];
  if (--uses[customer] <= 0) {
    uses.erase(customer);
  }
  if (uses.empty()) {
    this->own.erase(service);
  }
}

void FairShares::SetPeerUse(const std::string& peer, const std::vector<CustomerUse>& uses,
                            net::SteadyTime now) {
  this->peers[peer] = {now, uses};
}

std::vector<CustomerUse> FairShares::Report() const {
  std::map<std::uint32_t, int> totals;
  for (const auto& [service, uses] : this->own) {
    for (const auto& [customer, slots] : uses) {
      if (customer != 0) {
        totals[customer] += slots;
      }
    }
  }
  std::vector<std::pair<int, std::uint32_t>> order;
  order.reserve(totals.size());
  for (const auto& [customer, slots] : totals) {
    order.emplace_back(-slots, customer);
  }
  std::sort(order.begin(), order.end());
  order.resize(std::min(order.size(), kMaxReportedCustomers));
  std::vector<CustomerUse> report;
  for (const auto& [service, uses] : this->own) {
    for (const auto& [slots, customer] : order) {
      if (const auto use = uses.find(customer); use != uses.end()) {
        report.push_back({service, customer, use->second});
      }
    }
  }
  return report;
}

int FairShares::OwnUse(std::uint32_t service) const {
  const auto uses = this->own.find(service);
  return uses == this->own.end()
             ? 0
             : std::accumulate(uses->second.begin(), uses->second.end(), 0,
                               [](int sum, const auto& item) { return sum + item.second; });
}

FairShares::Uses FairShares::GroupUses(std::uint32_t service, net::SteadyTime now) const {
  Uses uses;
  std::size_t heard = 1;
  for (const auto& [name, peer] : this->peers) {
    if (now - peer.heard_at >= kReportLifetime) {
      continue;
    }
    ++heard;
    for (const CustomerUse& use : peer.uses) {
      if (use.service == service) {
        uses[use.customer] += use.slots;
      }
    }
  }
  if (const auto found = this->own.find(service); found != this->own.end()) {
    for (const auto& [customer, slots] : found->second) {
      uses[customer] += slots;
    }
  }
  const double scale =
      static_cast<double>(std::max(this->nodes, heard)) / static_cast<double>(heard);
  for (auto& [customer, slots] : uses) {
    slots *= scale;
  }
  return uses;
}

CustomerShare FairShares::ShareOf(std::uint32_t service, std::uint32_t customer,
                                  const Capacity& capacity, net::SteadyTime now) const {
  const Uses uses = this->GroupUses(service, now);
  std::vector<double> amounts;
  double known = 0;
  for (const auto& [key, slots] : uses) {
    known += slots;
    if (key != 0) {
      amounts.push_back(slots);
    }
  }
  // Uses of this service that nobody reported are those of small customers or without one.
  const double unnamed =
      std::max(0.0, capacity.in_use - known) + (uses.contains(0) ? uses.at(0) : 0.0);
  CustomerShare share;
  share.level = LevelOf(std::move(amounts), std::max(1.0, kSharedSlots * capacity.slots - unnamed));
  if (const auto use = uses.find(customer); use != uses.end()) {
    share.use = use->second;
  }
  if (const auto found = this->own.find(service); found != this->own.end()) {
    const auto use = found->second.find(customer);
    share.own = use == found->second.end() ? 0 : use->second;
  }
  // The parts of all nodes add up to 1, also while they know each other's use only from before.
  const double even = 1 / static_cast<double>(this->nodes);
  const double used = share.use > 0 ? share.own / share.use : even;
  share.own_limit = (kEvenPart * even + (1 - kEvenPart) * used) * share.level;
  return share;
}

double FairShares::Dither(std::uint32_t customer, net::SteadyTime now) const {
  const std::array<std::uint64_t, 3> seed{
      this->salt, customer, static_cast<std::uint64_t>(now.time_since_epoch() / kDitherPeriod)};
  return XXH32(seed.data(), sizeof(seed), 0) /
         static_cast<double>(std::numeric_limits<std::uint32_t>::max());
}

bool FairShares::MayStart(std::uint32_t service, std::uint32_t customer, const Capacity& capacity,
                          net::SteadyTime now) const {
  if (customer == 0 || capacity.in_use + 1 <= kUncrowded * capacity.slots) {
    return true;
  }
  const CustomerShare share = this->ShareOf(service, customer, capacity, now);
  const double growth = std::max(1.0, kUnseenGrowth * share.use);
  return share.use + growth <= share.level ||
         share.own + 1 <= share.own_limit + this->Dither(customer, now);
}

}  // namespace lentilhead::admission
