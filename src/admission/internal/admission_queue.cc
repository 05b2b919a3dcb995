#include "admission/admission_queue.h"

#include <algorithm>

namespace lentilhead::admission {

namespace {

using std::chrono::milliseconds;

// One in so many starts goes to a late request while others wait that can be on time.
constexpr std::uint64_t kLateTurn = 20;
// A caller with less time than this gains nothing from coming back.
constexpr milliseconds kMinTimeToReturn{700};
constexpr milliseconds kReviewPeriod{50};  // for requests that are kept waiting as late ones

// Longer expected waits are not told apart: no caller waits for so long.
constexpr std::chrono::duration<double> kLongestWait{60};

net::SteadyTime After(net::SteadyTime now, std::chrono::duration<double> wait) {
  return now + std::chrono::duration_cast<net::SteadyTime::duration>(std::min(wait, kLongestWait));
}

}  // namespace

void AdmissionQueue::RecordAsked(const Ticket& ticket, net::SteadyTime now) {
  if (ticket.customer != 0) {
    this->by_customer.RecordAsked(ticket.customer, now);
  }
  this->by_priority.RecordAsked(ticket.priority, now);
}

void AdmissionQueue::RecordServed(const Ticket& ticket, net::SteadyTime now) {
  if (ticket.customer != 0) {
    this->by_customer.RecordServed(ticket.customer, now);
  }
  this->by_priority.RecordServed(ticket.priority, now);
  this->served = ticket.CanBeOnTime(now) ? this->served + 1 : 0;
}

AdmissionQueue::Id AdmissionQueue::Add(Ticket ticket) {
  ticket.id = ++this->last_id;
  this->waiting.push_back(ticket);
  return ticket.id;
}

void AdmissionQueue::Remove(Id id) {
  std::erase_if(this->waiting, [id](const Ticket& ticket) { return ticket.id == id; });
}

std::size_t AdmissionQueue::SizeOf(std::uint32_t customer) const {
  return static_cast<std::size_t>(
      std::count_if(this->waiting.begin(), this->waiting.end(),
                    [&](const Ticket& ticket) { return ticket.customer == customer; }));
}

bool AdmissionQueue::MayStart(const Ticket& ticket, const Capacity& capacity,
                              net::SteadyTime now) const {
  return !ticket.may_be_refused ||
         this->shares->MayStart(this->service, ticket.customer, capacity, now) ||
         this->by_customer.IsStarved(ticket.customer, now);
}

bool AdmissionQueue::GoesBefore(const Ticket& first, const Ticket& second,
                                net::SteadyTime now) const {
  const auto rank = [&](const Ticket& ticket) {
    const bool is_starved =
        ticket.has_objectives && this->by_priority.IsStarved(ticket.priority, now);
    return std::tuple(!is_starved, ticket.priority, !ticket.CanBeOnTime(now), ticket.arrival,
                      ticket.id);
  };
  return rank(first) < rank(second);
}

std::optional<Ticket> AdmissionQueue::Next(net::SteadyTime now, const Capacity& capacity,
                                           const std::set<Id>& skipped) const {
  const Ticket* next = nullptr;
  const bool is_late_turn = this->served >= kLateTurn;
  for (const Ticket& ticket : this->waiting) {
    if (skipped.contains(ticket.id)) {
      continue;
    }
    const bool is_due = is_late_turn && !ticket.CanBeOnTime(now);
    const bool is_before = next == nullptr || is_due || this->GoesBefore(ticket, *next, now);
    if (!is_before || !this->MayStart(ticket, capacity, now)) {
      continue;
    }
    next = &ticket;
    if (is_due) {
      break;
    }
  }
  return next == nullptr ? std::nullopt : std::optional(*next);
}

double AdmissionQueue::StartRateOf(std::uint32_t customer, const Capacity& capacity,
                                   net::SteadyTime now) const {
  const CustomerShare share = this->shares->ShareOf(this->service, customer, capacity, now);
  const double node_slots =
      std::max(1.0, capacity.slots / static_cast<double>(this->shares->NodeCount()));
  return capacity.starts_per_second * std::min(1.0, share.own_limit / node_slots);
}

net::SteadyTime AdmissionQueue::ExpectedStart(const Ticket& ticket, net::SteadyTime now,
                                              const Capacity& capacity, bool may_start) const {
  const auto ahead =
      std::count_if(this->waiting.begin(), this->waiting.end(), [&](const Ticket& other) {
        return other.id != ticket.id && (may_start || other.customer == ticket.customer) &&
               this->GoesBefore(other, ticket, now);
      });
  double rate =
      may_start ? capacity.starts_per_second : this->StartRateOf(ticket.customer, capacity, now);
  std::chrono::duration<double> wait{0};
  if (capacity.IsFullByBurst()) {
    // What began in a burst does not end yet: slots become free at the pace of those before it.
    rate *= capacity.EstablishedPart();
    wait = capacity.TimeToPlace();
  }
  wait += std::chrono::duration<double>((static_cast<double>(ahead) + 1) / std::max(rate, 0.1));
  return After(now, wait);
}

WaitVerdict AdmissionQueue::Review(const Ticket& ticket, net::SteadyTime now,
                                   const Capacity& capacity) const {
  if (!ticket.may_be_refused && now < ticket.latest_start) {
    return KeepWaiting{ticket.latest_start};
  }
  const bool may_start = this->MayStart(ticket, capacity, now);
  const RefusalCause cause = may_start ? RefusalCause::kPredictedLate : RefusalCause::kOverShare;
  // What the other customers leave free changes faster than the share of a customer: one at its
  // share waits for as long as a refusal costs little.
  const bool is_kept =
      !capacity.is_learned || !ticket.has_objectives || (!may_start && now < ticket.refuse_by);
  if (is_kept || now >= ticket.latest_start) {
    return now < ticket.refuse_by ? WaitVerdict(KeepWaiting{ticket.refuse_by})
                                  : WaitVerdict(RefuseNow{RefusalCause::kNoSlotInTime});
  }
  const net::SteadyTime start = this->ExpectedStart(ticket, now, capacity, may_start);
  if (start <= ticket.useful_start) {
    return KeepWaiting{now < ticket.refuse_by ? ticket.refuse_by
                                              : std::min(ticket.useful_start, now + kReviewPeriod)};
  }
  const bool can_return = now <= ticket.refuse_by && ticket.latest_start - now > kMinTimeToReturn;
  if (can_return || start > ticket.latest_start) {
    return RefuseNow{cause};
  }
  return KeepWaiting{std::min(now + kReviewPeriod, ticket.latest_start)};
}

}  // namespace lentilhead::admission
