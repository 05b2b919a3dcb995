#pragma once

#include <optional>
#include <vector>

#include "gateway/types/prompt_part.h"

namespace lentilhead::gateway {

/// Keys by which a request that ends endpoints is recognized when it, or one like it, comes again.
struct PromptKeys {
  /// Parts of the prompt that other requests may share, in their order.
  std::vector<PartKey> shared;
  /// The item itself, if the request is an item of a batch job: these are sent again until they
  /// end.
  std::optional<PartKey> own;
};

}  // namespace lentilhead::gateway
