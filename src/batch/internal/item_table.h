#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "batch/types/held_item.h"
#include "batch/types/item_bitmap.h"
#include "batch/types/item_grant.h"

namespace lentilhead::batch::internal {

/// State of an item as the job owner tracks it.
enum class ItemState : std::uint8_t {
  kUngranted,    ///< Never granted.
  kUnconfirmed,  ///< Possibly held by an endpoint owner to which an earlier job owner granted it.
  kQueued,       ///< Must be granted again.
  kSuspect,    ///< May have caused the loss of an endpoint or its owner; granted only to run alone.
  kHeld,       ///< Granted to an endpoint owner.
  kEnding,     ///< Ends without an answer; its result line is not yet rendered.
  kEnded,      ///< Has a result that is not yet durable.
  kCommitted,  ///< Has a durable result.
};

/// States of the items of one job, and the endpoint owners that hold them.
class ItemTable {
 public:
  /// Returns true if the line of an item is loaded.
  using Readable = std::function<bool(std::uint32_t item)>;

  /// An item that an endpoint owner holds.
  struct Holding {
    std::string puller;
    std::uint64_t attempt = 0;
    std::uint64_t sequence = 0;  ///< Number of the exchange that granted the item.
    bool solo = false;
  };

  /// @param done items with durable results.
  /// @param unconfirmed items below this index may be held since an earlier epoch.
  ItemTable(const ItemBitmap& done, std::size_t unconfirmed, std::uint64_t epoch);

  [[nodiscard]] ItemState StateOf(std::uint32_t item) const { return this->states[item]; }
  [[nodiscard]] const Holding* HoldingOf(std::uint32_t item) const;

  /// Grants the next item that may run concurrently with others: first queued items, then items
  /// below `declared` that were never granted. @return no value if there is none.
  std::optional<ItemGrant> GrantNext(const std::string& puller, std::uint64_t sequence,
                                     std::size_t declared, const Readable& readable);

  /// Grants a suspected item, which runs alone.
  ItemGrant GrantSuspect(std::uint32_t item, const std::string& puller, std::uint64_t sequence);

  /// Records that an endpoint owner holds an unconfirmed item of an earlier epoch.
  void Adopt(const HeldItem& held, const std::string& puller, std::uint64_t sequence);

  /// Moves an item to a state in which no endpoint owner holds it.
  void MoveTo(std::uint32_t item, ItemState state);

  /// Stores the text generated so far for the next attempt.
  void StorePartial(std::uint32_t item, PartialAnswer partial);

  /// Attempts that were granted to an endpoint owner before an exchange and that it still holds.
  [[nodiscard]] std::vector<HeldItem> HeldBy(const std::string& puller,
                                             std::uint64_t before_sequence) const;

  [[nodiscard]] std::vector<std::uint32_t> ItemsIn(ItemState state) const;
  [[nodiscard]] std::size_t CountOf(ItemState state) const;
  [[nodiscard]] const std::set<std::uint32_t>& Suspects() const { return this->suspects; }

  /// Index of the first item that was never granted.
  [[nodiscard]] std::size_t NextUngranted() const { return this->next_ungranted; }
  [[nodiscard]] std::size_t Size() const { return this->states.size(); }

  /// Items that could be granted if their lines were loaded: first suspected items, then queued
  /// ones, then those that were never granted.
  [[nodiscard]] std::vector<std::uint32_t> Upcoming(std::size_t declared,
                                                    std::size_t max_items) const;

 private:
  ItemGrant GrantItem(std::uint32_t item, const std::string& puller, std::uint64_t sequence,
                      bool solo);
  void SetState(std::uint32_t item, ItemState state);

  std::vector<ItemState> states;
  std::vector<std::size_t> counts;
  std::set<std::uint32_t> queued;
  std::set<std::uint32_t> suspects;
  std::map<std::uint32_t, Holding> holdings;
  std::map<std::uint32_t, PartialAnswer> partials;
  std::size_t next_ungranted;
  std::uint64_t next_attempt;
};

}  // namespace lentilhead::batch::internal
