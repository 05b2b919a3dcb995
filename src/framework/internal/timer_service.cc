#include "framework/timer_service.h"

#include <optional>
#include <utility>

namespace lentilhead::framework {

namespace {

struct MonotonicNow {
  MonotonicTime operator()(const internal::MainContextClock& /*clock*/) const {
    return std::chrono::steady_clock::now();
  }
  MonotonicTime operator()(const internal::ManualClock& clock) const { return clock.monotonic; }
};

struct WallClockNow {
  WallTime operator()(const internal::MainContextClock& /*clock*/) const {
    return std::chrono::system_clock::now();
  }
  WallTime operator()(const internal::ManualClock& clock) const { return clock.wall; }
};

struct ArmWakeUp {
  std::optional<MonotonicTime> due;
  void operator()(internal::MainContextClock& clock) const { clock.WakeUpAt(this->due); }
  void operator()(internal::ManualClock& /*clock*/) const {}
};

}  // namespace

std::unique_ptr<TimerService> TimerService::OnMainContext(GMainContext* context) {
  auto service =
      std::unique_ptr<TimerService>(new TimerService(internal::MainContextClock(context)));
  auto& clock = std::get<internal::MainContextClock>(service->clock);
  clock.OnWakeUp([raw = service.get()] {
    raw->RunDue(raw->Now());
    raw->Rearm();
  });
  return service;
}

std::unique_ptr<TimerService> TimerService::Manual() {
  return std::unique_ptr<TimerService>(new TimerService(internal::ManualClock{}));
}

TimerService::TimerService(std::variant<internal::MainContextClock, internal::ManualClock> clock)
    : clock(std::move(clock)), self(std::make_shared<TimerService*>(this)) {}

TimerService::~TimerService() = default;

MonotonicTime TimerService::Now() const { return std::visit(MonotonicNow{}, this->clock); }

WallTime TimerService::WallNow() const { return std::visit(WallClockNow{}, this->clock); }

TimerSubscription TimerService::After(std::chrono::nanoseconds delay, Callback callback) {
  return this->Add(delay, std::chrono::nanoseconds(0), std::move(callback));
}

TimerSubscription TimerService::Every(std::chrono::nanoseconds period, Callback callback) {
  return this->Add(period, period, std::move(callback));
}

void TimerService::AdvanceBy(std::chrono::nanoseconds step) {
  auto* manual = std::get_if<internal::ManualClock>(&this->clock);
  if (manual == nullptr) {
    return;
  }
  const MonotonicTime target = manual->monotonic + step;
  while (!this->entries.empty() && this->entries.begin()->first.first <= target) {
    const MonotonicTime due = std::max(this->entries.begin()->first.first, manual->monotonic);
    manual->wall += std::chrono::duration_cast<WallTime::duration>(due - manual->monotonic);
    manual->monotonic = due;
    this->RunDue(due);
  }
  manual->wall += std::chrono::duration_cast<WallTime::duration>(target - manual->monotonic);
  manual->monotonic = target;
}

TimerSubscription TimerService::Add(std::chrono::nanoseconds delay, std::chrono::nanoseconds period,
                                    Callback callback) {
  const std::uint64_t id = this->next_id++;
  const MonotonicTime due = this->Now() + delay;
  this->entries.emplace(Key{due, id}, Entry{period, std::move(callback)});
  this->due_times.emplace(id, due);
  this->Rearm();
  return {this->self, id};
}

void TimerService::Cancel(std::uint64_t id) {
  const auto found = this->due_times.find(id);
  if (found == this->due_times.end()) {
    return;
  }
  this->entries.erase(Key{found->second, id});
  this->due_times.erase(found);
}

void TimerService::RunDue(MonotonicTime now) {
  // Entries that callbacks add with no delay wait for the next run, so that a run always ends.
  const std::uint64_t first_new_id = this->next_id;
  while (!this->entries.empty()) {
    const auto first = this->entries.begin();
    const Key key = first->first;
    if (key.first > now || key.second >= first_new_id) {
      return;
    }
    Entry entry = std::move(first->second);
    this->entries.erase(first);
    const Callback callback = entry.callback;
    if (entry.period.count() > 0) {
      const MonotonicTime due = std::max(key.first + entry.period, now);
      this->entries.emplace(Key{due, key.second}, std::move(entry));
      this->due_times[key.second] = due;
      if (due == now) {
        callback();
        return;
      }
    } else {
      this->due_times.erase(key.second);
    }
    callback();
  }
}

void TimerService::Rearm() {
  std::optional<MonotonicTime> due;
  if (!this->entries.empty()) {
    due = this->entries.begin()->first.first;
  }
  std::visit(ArmWakeUp{due}, this->clock);
}

TimerSubscription::TimerSubscription(std::weak_ptr<TimerService*> service, std::uint64_t id)
    : service(std::move(service)), id(id) {}

TimerSubscription::TimerSubscription(TimerSubscription&& other) noexcept
    : service(std::move(other.service)), id(std::exchange(other.id, 0)) {}

TimerSubscription& TimerSubscription::operator=(TimerSubscription&& other) noexcept {
  if (this != &other) {
    this->Cancel();
    this->service = std::move(other.service);
    this->id = std::exchange(other.id, 0);
  }
  return *this;
}

TimerSubscription::~TimerSubscription() { this->Cancel(); }

void TimerSubscription::Cancel() {
  const auto locked = this->service.lock();
  if (locked && this->id != 0) {
    (*locked)->Cancel(this->id);
  }
  this->id = 0;
}

}  // namespace lentilhead::framework
