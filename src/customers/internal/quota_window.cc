#include "customers/quota_window.h"

#include <algorithm>
#include <cmath>

namespace lentilhead::customers {

namespace {

double Seconds(net::SteadyTime::duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

QuotaWindow::QuotaWindow(Quota quota, net::SteadyTime now)
    : quota(quota), now(now), slot_begin(now), low_since(now) {
  this->room = this->RoomAfter(0);
  this->low = this->room;
  this->previous_low = this->room;
}

void QuotaWindow::BeginYoung(std::chrono::milliseconds time, double first) {
  this->young_room = this->IsYoung() ? std::min(this->young_room, first) : first;
  this->young_until = std::max(this->young_until, this->now + time);
  this->low = 0;
  this->previous_low = 0;
}

double& QuotaWindow::At(std::size_t age) {
  return this->slots[(this->current + kSlots - age) % kSlots];
}

double QuotaWindow::At(std::size_t age) const {
  return this->slots[(this->current + kSlots - age) % kSlots];
}

double QuotaWindow::RoomAfter(std::size_t passed) const {
  const double young_rate = this->quota.YoungRate();
  double used = 0;
  double least = this->quota.WindowLimit() - young_rate * Seconds(kSpan);
  for (std::size_t age = 0; age + passed < kSlots; ++age) {
    used += this->At(age);
    // A new counting node admits in the rest of the span that begins with these requests.
    const auto rest = kSpan - kSlot * std::min<std::size_t>(age + passed, kSlots - 1);
    least = std::min(least, this->quota.WindowLimit() - young_rate * Seconds(rest) - used);
  }
  return least;
}

void QuotaWindow::SetQuota(Quota changed, net::SteadyTime at) {
  this->Advance(at);
  this->quota = changed;
  this->room = this->RoomAfter(0);
  this->NoteLow();
}

void QuotaWindow::Advance(net::SteadyTime at, double share) {
  if (at <= this->now) {
    return;
  }
  const double seconds = std::min(Seconds(at - this->now), Seconds(kSpan));
  if (this->IsYoung()) {
    this->young_room += seconds * share * this->quota.YoungRate();
  }
  this->now = at;
  if (at - this->slot_begin >= kSlot) {
    const auto passed = (at - this->slot_begin) / kSlot;
    this->slot_begin += kSlot * passed;
    for (auto slot = std::min<std::int64_t>(passed, kSlots); slot > 0; --slot) {
      this->current = (this->current + 1) % kSlots;
      this->slots[this->current] = 0;
    }
    this->room = this->RoomAfter(0);
  }
  if (share < 1) {
    this->Count(seconds * (1 - share) * this->quota.rate);
  }
  if (at - this->low_since >= kSpan) {
    this->previous_low = this->low;
    this->low = this->Room();
    this->low_since = at;
  }
  this->NoteLow();
}

double QuotaWindow::Room() const {
  return this->IsYoung() ? std::min(this->room, this->young_room) : this->room;
}

void QuotaWindow::NoteLow() { this->low = std::min(this->low, this->Room()); }

void QuotaWindow::Count(double requests) {
  this->At(0) += requests;
  this->room -= requests;  // all sums contain the current slot
}

int QuotaWindow::Take(int wanted) {
  const int taken = std::clamp(static_cast<int>(std::floor(this->Room())), 0, wanted);
  this->Charge(taken);
  return taken;
}

int QuotaWindow::TakeLate(int wanted) {
  const double always = std::min({this->low, this->previous_low, this->Room()});
  const int taken = std::clamp(static_cast<int>(std::floor(always)), 0, wanted);
  this->Charge(taken);
  this->low -= taken;
  this->previous_low -= taken;
  return taken;
}

void QuotaWindow::Charge(double requests) {
  this->young_room -= requests;
  if (requests >= 0) {
    this->Count(requests);
    this->NoteLow();
    return;
  }
  // A request that is removed was admitted shortly before. Slots stay above 0, so that it does not
  // make room after it would have left the window.
  double left = -requests;
  for (std::size_t age = 0; age < kSlots && left > 0; ++age) {
    const double removed = std::min(left, this->At(age));
    this->At(age) -= removed;
    left -= removed;
  }
  this->room = this->RoomAfter(0);
}

void QuotaWindow::ChargePast(double requests) {
  this->Count(requests);
  this->NoteLow();
}

std::chrono::milliseconds QuotaWindow::UntilRoom(double requests) const {
  if (this->Room() >= requests) {
    return std::chrono::milliseconds(0);
  }
  std::chrono::milliseconds young(0);
  const double missing = requests - this->young_room;
  if (this->IsYoung() && missing > 0) {
    young = net::ToMilliseconds(this->young_until - this->now);
    if (this->quota.YoungRate() > 0) {
      young = std::min(young, std::chrono::milliseconds(static_cast<std::int64_t>(
                                  std::ceil(1000 * missing / this->quota.YoungRate()))));
    }
  }
  std::size_t slots = 0;
  while (slots < kSlots && this->RoomAfter(slots) < requests) {
    ++slots;
  }
  const auto next = this->slot_begin + kSlot * static_cast<std::int64_t>(slots);
  return std::max({young, net::ToMilliseconds(next - this->now) + std::chrono::milliseconds(1)});
}

}  // namespace lentilhead::customers
