#pragma once

#include <cstdint>
#include <string>

namespace lentilhead::batch {

/// First part of a generated answer, which a later attempt can continue.
struct PartialAnswer {
  std::string text;
  std::int64_t tokens = 0;  ///< Number of non-empty stream events, counted as one token each.

  bool operator==(const PartialAnswer&) const = default;
};

}  // namespace lentilhead::batch
