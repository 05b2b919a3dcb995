#pragma once

#include <cstdint>

namespace lentilhead::placement {

/// A part of a prompt, with its length.
struct PromptTokens {
  std::uint64_t part = 0;  ///< key of the part
  int tokens = 0;
};

}  // namespace lentilhead::placement
