#include "batch/internal/work_selector.h"

#include <algorithm>
#include <set>

namespace lentilhead::batch::internal {

namespace {

/// Items selected for a caller per turn of the round robin.
constexpr std::size_t kQuantumItems = 4;

void AddTo(std::vector<WorkRequest>& requests, const std::string& job, const std::string& owner) {
  const auto same = std::find_if(requests.begin(), requests.end(),
                                 [&](const WorkRequest& request) { return request.job == job; });
  if (same != requests.end()) {
    same->count += 1;
    return;
  }
  requests.push_back({job, owner, 1});
}

}  // namespace

WorkSelector::WorkSelector(std::chrono::milliseconds offer_lifetime)
    : offer_lifetime(offer_lifetime) {}

void WorkSelector::OnOffer(const std::string& owner, const JobOffer& offer,
                           framework::MonotonicTime now) {
  const auto received_offer = this->offers.find(offer.job);
  if (received_offer != this->offers.end() && received_offer->second.offer.epoch > offer.epoch) {
    return;
  }
  this->offers[offer.job] = ReceivedOffer{owner, offer, now};
}

void WorkSelector::OnWithdrawn(const std::string& owner, const std::string& job) {
  const auto received_offer = this->offers.find(job);
  if (received_offer != this->offers.end() && received_offer->second.owner == owner) {
    this->offers.erase(received_offer);
  }
}

std::vector<WorkRequest> WorkSelector::Select(const std::string& service, std::size_t count,
                                              framework::MonotonicTime now) {
  std::vector<WorkRequest> requests;
  std::vector<std::string> callers = this->CallersWithOffers(service, now);
  std::size_t selected = 0;
  while (selected < count && !callers.empty()) {
    const std::string caller = this->NextCaller(callers);
    std::size_t& deficit = this->deficits[caller];
    ReceivedOffer* chosen = this->MostUrgent(caller, service, &JobOffer::pending, now);
    if (chosen == nullptr) {
      deficit = 0;
      callers.erase(std::find(callers.begin(), callers.end(), caller));
      continue;
    }
    chosen->offer.pending -= 1;
    deficit -= 1;
    selected += 1;
    AddTo(requests, chosen->offer.job, chosen->owner);
  }
  return requests;
}

std::string WorkSelector::NextCaller(const std::vector<std::string>& callers) {
  const bool present = std::binary_search(callers.begin(), callers.end(), this->last_caller);
  if (present && this->deficits[this->last_caller] > 0) {
    return this->last_caller;
  }
  const auto next = std::upper_bound(callers.begin(), callers.end(), this->last_caller);
  this->last_caller = next == callers.end() ? callers.front() : *next;
  this->deficits[this->last_caller] += kQuantumItems;
  return this->last_caller;
}

std::optional<WorkRequest> WorkSelector::SelectSolo(const std::string& service,
                                                    framework::MonotonicTime now) {
  for (const std::string& caller : this->CallersWithOffers(service, now)) {
    ReceivedOffer* chosen = this->MostUrgent(caller, service, &JobOffer::pending_solo, now);
    if (chosen != nullptr) {
      chosen->offer.pending_solo -= 1;
      return WorkRequest{chosen->offer.job, chosen->owner, 1};
    }
  }
  return std::nullopt;
}

bool WorkSelector::HasSoloOffer(const std::string& service, framework::MonotonicTime now) const {
  return std::any_of(this->offers.begin(), this->offers.end(), [&](const auto& entry) {
    const ReceivedOffer& received_offer = entry.second;
    return received_offer.offer.service == service && received_offer.offer.pending_solo > 0 &&
           this->IsCurrent(received_offer, now);
  });
}

std::string WorkSelector::OwnerOf(const std::string& job, framework::MonotonicTime now) const {
  const auto received_offer = this->offers.find(job);
  if (received_offer == this->offers.end() || !this->IsCurrent(received_offer->second, now)) {
    return "";
  }
  return received_offer->second.owner;
}

bool WorkSelector::IsCurrent(const ReceivedOffer& received_offer,
                             framework::MonotonicTime now) const {
  return now < received_offer.received + this->offer_lifetime;
}

std::chrono::milliseconds WorkSelector::LaxityOf(const ReceivedOffer& received_offer,
                                                 framework::MonotonicTime now) const {
  return received_offer.offer.laxity -
         std::chrono::duration_cast<std::chrono::milliseconds>(now - received_offer.received);
}

WorkSelector::ReceivedOffer* WorkSelector::MostUrgent(const std::string& caller,
                                                      const std::string& service,
                                                      std::size_t JobOffer::*pending,
                                                      framework::MonotonicTime now) {
  ReceivedOffer* chosen = nullptr;
  for (auto& [job, received_offer] : this->offers) {
    const JobOffer& offer = received_offer.offer;
    if (offer.caller != caller || offer.service != service || offer.*pending == 0 ||
        !this->IsCurrent(received_offer, now)) {
      continue;
    }
    if (chosen == nullptr || this->LaxityOf(received_offer, now) < this->LaxityOf(*chosen, now)) {
      chosen = &received_offer;
    }
  }
  return chosen;
}

std::vector<std::string> WorkSelector::CallersWithOffers(const std::string& service,
                                                         framework::MonotonicTime now) {
  std::set<std::string> callers;
  for (auto received_offer = this->offers.begin(); received_offer != this->offers.end();) {
    if (!this->IsCurrent(received_offer->second, now)) {
      received_offer = this->offers.erase(received_offer);
      continue;
    }
    if (received_offer->second.offer.service == service) {
      callers.insert(received_offer->second.offer.caller);
    }
    ++received_offer;
  }
  return {callers.begin(), callers.end()};
}

}  // namespace lentilhead::batch::internal
