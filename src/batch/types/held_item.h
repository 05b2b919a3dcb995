#pragma once

#include <cstdint>
#include <tuple>

namespace lentilhead::batch {

/// An attempt that was granted to an endpoint owner and whose result the job owner has not
/// received.
struct HeldItem {
  std::uint32_t item = 0;
  std::uint64_t attempt = 0;

  bool operator==(const HeldItem&) const = default;
  bool operator<(const HeldItem& other) const {
    return std::tie(this->item, this->attempt) < std::tie(other.item, other.attempt);
  }
};

}  // namespace lentilhead::batch
