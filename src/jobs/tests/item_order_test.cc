#include "jobs/item_order.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "jobs/item_pace.h"

namespace lentilhead::jobs {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kSlots = 18;  // 9 items a second
constexpr milliseconds kStep{100};
constexpr milliseconds kRun{2000};
constexpr milliseconds kDue{18000};
constexpr milliseconds kFlood{20000};
// The last items are due 38 s after the start; the slots end 9 items a second until then.
constexpr int kMostOnTime = 9 * 38;

TEST_CASE("the earliest due item starts first, and one that is late anyway starts last") {
  const ItemCandidate soon{milliseconds(3000), milliseconds(1000)};
  const ItemCandidate later{milliseconds(9000), milliseconds(1000)};
  const ItemCandidate late{milliseconds(500), milliseconds(1000)};
  CHECK(ItemOrder::StartsBefore(soon, later));
  CHECK_FALSE(ItemOrder::StartsBefore(later, soon));
  CHECK(ItemOrder::StartsBefore(later, late));
  CHECK_FALSE(ItemOrder::StartsBefore(late, later));
}

TEST_CASE("a late item yields first, then the one with the most time to spare") {
  const ItemCandidate tight{milliseconds(1200), milliseconds(1000)};
  const ItemCandidate spare{milliseconds(9000), milliseconds(1000)};
  const ItemCandidate late{milliseconds(500), milliseconds(1000)};
  CHECK(ItemOrder::YieldsBefore(spare, tight));
  CHECK(ItemOrder::YieldsBefore(late, spare));
  CHECK_FALSE(ItemOrder::YieldsBefore(tight, late));
}

TEST_CASE("the rest of a run is estimated from the pace of earlier items") {
  ItemPace pace;
  CHECK(pace.LeftToRun(1000, 0) == milliseconds(0));
  for (int item = 0; item < 50; ++item) {
    pace.RecordAttempt(100, milliseconds(2000));
    pace.RecordAttempt(1, milliseconds(900));
    pace.RecordCompleted(1000, 100);
  }
  CHECK(pace.LeftToRun(1000, 0) == milliseconds(2000));
  CHECK(pace.LeftToRun(500, 20) == milliseconds(600));
  CHECK(pace.LeftToRun(500, 90) == milliseconds(0));
}

/// Plays a flood at a service with a number of slots, in steps of 100 ms; items take 2 s and are
/// due 18 s after their arrival.
/// @return the number of items that ended on time.
int CountOnTime(int arrivals_per_second, bool by_due_time_alone) {
  struct Item {
    milliseconds due;
    milliseconds left{kRun};
    bool running = false;
  };
  std::vector<Item> items;
  int on_time = 0;
  for (milliseconds now{0}; now < std::chrono::seconds(60); now += kStep) {
    if (now < kFlood) {
      items.insert(items.end(), static_cast<std::size_t>(arrivals_per_second / 10), {now + kDue});
    }
    const auto candidate = [&](const Item& item) {
      return ItemCandidate{item.due - now, item.left};
    };
    std::stable_sort(items.begin(), items.end(), [&](const Item& left, const Item& right) {
      if (left.running != right.running || by_due_time_alone) {
        return left.running != right.running ? left.running : left.due < right.due;
      }
      return ItemOrder::StartsBefore(candidate(left), candidate(right));
    });
    for (std::size_t slot = 0; slot < std::min(kSlots, items.size()); ++slot) {
      items[slot].running = true;
      items[slot].left -= kStep;
    }
    std::erase_if(items, [&](const Item& item) {
      const bool ended = item.left <= milliseconds(0);
      on_time += ended && now + kStep <= item.due ? 1 : 0;
      return ended;
    });
  }
  return on_time;
}

TEST_CASE("in a flood beyond capacity the slots end on time what they can") {
  CHECK(CountOnTime(30, false) >= kMostOnTime * 9 / 10);
  CHECK(CountOnTime(30, true) < kMostOnTime * 8 / 10);
}

}  // namespace
}  // namespace lentilhead::jobs
