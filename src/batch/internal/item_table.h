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

/// Where an item stands in the hands of the job's owner.
enum class ItemState : std::uint8_t {
  kUngranted,    ///< Never handed out.
  kUnconfirmed,  ///< May be held by an endpoint owner since an earlier owner of the job.
  kQueued,       ///< To be handed out again.
  kSuspect,      ///< To be handed out alone.
  kHeld,         ///< Held by an endpoint owner.
  kEnding,       ///< Ends without an answer; its result line is being made.
  kEnded,        ///< Has a result that is not yet durable.
  kCommitted,    ///< Has a durable result.
};

/// States of the items of one job and who holds them.
class ItemTable {
 public:
  using Readable = std::function<bool(std::uint32_t item)>;

  /// An item in the hands of an endpoint owner.
  struct Holding {
    std::string puller;
    std::uint64_t attempt = 0;
    std::uint64_t sequence = 0;  ///< Exchange of the puller in which it was handed out.
    bool solo = false;
  };

  /// @param done items with durable results. @param unsettled items before this index may be held.
  ItemTable(const ItemBitmap& done, std::size_t unconfirmed, std::uint64_t epoch);

  [[nodiscard]] ItemState StateOf(std::uint32_t item) const { return this->states[item]; }
  [[nodiscard]] const Holding* HoldingOf(std::uint32_t item) const;

  /// Hands out the next item that may run beside others: queued ones, then fresh ones before
  /// `declared`. @return no value if there is none.
  std::optional<ItemGrant> GrantNext(const std::string& puller, std::uint64_t sequence,
                                     std::size_t declared, const Readable& readable);

  /// Hands out a suspect.
  ItemGrant GrantSuspect(std::uint32_t item, const std::string& puller, std::uint64_t sequence);

  /// Records that a puller holds an unsettled item of an earlier epoch.
  void Adopt(const HeldItem& held, const std::string& puller, std::uint64_t sequence);

  /// Moves an item to a state in which nobody holds it.
  void MoveTo(std::uint32_t item, ItemState state);

  /// Keeps the text generated so far for the next attempt.
  void StorePartial(std::uint32_t item, PartialAnswer partial);

  /// Items that a puller was given before an exchange, with their attempts.
  [[nodiscard]] std::vector<HeldItem> HeldBy(const std::string& puller,
                                             std::uint64_t before_sequence) const;

  [[nodiscard]] std::vector<std::uint32_t> ItemsIn(ItemState state) const;
  [[nodiscard]] std::size_t CountOf(ItemState state) const;
  [[nodiscard]] const std::set<std::uint32_t>& Suspects() const { return this->suspects; }

  /// First item that was never handed out.
  [[nodiscard]] std::size_t NextUngranted() const { return this->next_ungranted; }
  [[nodiscard]] std::size_t Size() const { return this->states.size(); }

  /// Items that Take() could hand out if they were readable, in its order.
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
