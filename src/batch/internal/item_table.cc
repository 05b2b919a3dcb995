#include "batch/internal/item_table.h"

#include <utility>

#include "batch/internal/invariant.h"

namespace lentilhead::batch::internal {

namespace {

constexpr std::size_t kStateCount = 8;
constexpr int kEpochShift = 32;

std::size_t IndexOf(ItemState state) { return static_cast<std::size_t>(state); }

}  // namespace

ItemTable::ItemTable(const ItemBitmap& done, std::size_t unconfirmed, std::uint64_t epoch)
    : states(done.Size(), ItemState::kUngranted),
      counts(kStateCount, 0),
      next_ungranted(std::min(unconfirmed, done.Size())),
      next_attempt(epoch << kEpochShift) {
  for (std::size_t item = 0; item < this->states.size(); ++item) {
    if (done.Test(item)) {
      this->states[item] = ItemState::kCommitted;
    } else if (item < this->next_ungranted) {
      this->states[item] = ItemState::kUnconfirmed;
    }
    this->counts[IndexOf(this->states[item])] += 1;
  }
}

const ItemTable::Holding* ItemTable::HoldingOf(std::uint32_t item) const {
  const auto found = this->holdings.find(item);
  return found == this->holdings.end() ? nullptr : &found->second;
}

std::optional<ItemGrant> ItemTable::GrantNext(const std::string& puller, std::uint64_t sequence,
                                              std::size_t declared, const Readable& readable) {
  for (const std::uint32_t item : this->queued) {
    if (readable(item)) {
      return this->GrantItem(item, puller, sequence, false);
    }
  }
  while (this->next_ungranted < declared &&
         this->states[this->next_ungranted] != ItemState::kUngranted) {
    this->next_ungranted += 1;
  }
  if (this->next_ungranted >= declared) {
    return std::nullopt;
  }
  const auto item = static_cast<std::uint32_t>(this->next_ungranted);
  if (!readable(item)) {
    return std::nullopt;
  }
  this->next_ungranted += 1;
  return this->GrantItem(item, puller, sequence, false);
}

ItemGrant ItemTable::GrantSuspect(std::uint32_t item, const std::string& puller,
                                  std::uint64_t sequence) {
  return this->GrantItem(item, puller, sequence, true);
}

ItemGrant ItemTable::GrantItem(std::uint32_t item, const std::string& puller,
                               std::uint64_t sequence, bool solo) {
  Require(this->states[item] != ItemState::kHeld, "an item has one holder");
  Require(this->states[item] < ItemState::kEnding, "an item with a result is not granted");
  this->SetState(item, ItemState::kHeld);
  this->next_attempt += 1;
  this->holdings[item] = Holding{puller, this->next_attempt, sequence, solo};
  ItemGrant grant{item, this->next_attempt, solo, {}};
  const auto partial = this->partials.find(item);
  if (partial != this->partials.end()) {
    grant.partial = partial->second;
  }
  return grant;
}

void ItemTable::Adopt(const HeldItem& held, const std::string& puller, std::uint64_t sequence) {
  this->SetState(held.item, ItemState::kHeld);
  this->holdings[held.item] = Holding{puller, held.attempt, sequence, false};
}

void ItemTable::MoveTo(std::uint32_t item, ItemState state) {
  this->holdings.erase(item);
  if (state >= ItemState::kEnding) {
    this->partials.erase(item);
  }
  this->SetState(item, state);
}

void ItemTable::SetState(std::uint32_t item, ItemState state) {
  ItemState& current = this->states[item];
  Require(current != ItemState::kCommitted, "a committed item never changes");
  this->counts[IndexOf(current)] -= 1;
  this->counts[IndexOf(state)] += 1;
  if (current == ItemState::kQueued) {
    this->queued.erase(item);
  }
  if (current == ItemState::kSuspect) {
    this->suspects.erase(item);
  }
  if (state == ItemState::kQueued) {
    this->queued.insert(item);
  }
  if (state == ItemState::kSuspect) {
    this->suspects.insert(item);
  }
  current = state;
}

void ItemTable::StorePartial(std::uint32_t item, PartialAnswer partial) {
  if (!partial.text.empty()) {
    this->partials[item] = std::move(partial);
  }
}

std::vector<HeldItem> ItemTable::HeldBy(const std::string& puller,
                                        std::uint64_t before_sequence) const {
  std::vector<HeldItem> held;
  for (const auto& [item, holding] : this->holdings) {
    if (holding.puller == puller && holding.sequence < before_sequence) {
      held.push_back({item, holding.attempt});
    }
  }
  return held;
}

std::vector<std::uint32_t> ItemTable::ItemsIn(ItemState state) const {
  std::vector<std::uint32_t> items;
  if (this->CountOf(state) == 0) {
    return items;
  }
  for (std::uint32_t item = 0; item < this->states.size(); ++item) {
    if (this->states[item] == state) {
      items.push_back(item);
    }
  }
  return items;
}

std::size_t ItemTable::CountOf(ItemState state) const { return this->counts[IndexOf(state)]; }

std::vector<std::uint32_t> ItemTable::Upcoming(std::size_t declared, std::size_t max_items) const {
  std::vector<std::uint32_t> items;
  for (const std::uint32_t item : this->suspects) {
    if (items.size() >= max_items) {
      return items;
    }
    items.push_back(item);
  }
  for (const std::uint32_t item : this->queued) {
    if (items.size() >= max_items) {
      return items;
    }
    items.push_back(item);
  }
  for (std::size_t item = this->next_ungranted; item < declared && items.size() < max_items;
       ++item) {
    if (this->states[item] == ItemState::kUngranted) {
      items.push_back(static_cast<std::uint32_t>(item));
    }
  }
  return items;
}

}  // namespace lentilhead::batch::internal
