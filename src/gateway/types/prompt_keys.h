#pragma once

#include <optional>
#include <vector>

#include "gateway/types/prompt_part.h"

namespace lentilhead::gateway {

/// Keys by which a request that ends endpoints is recognized when it, or one like it, comes again.
struct PromptKeys {
  /// Parts of the prompt that other requests may share, in their order.
  std::vector<PartKey> shared;
  /// The request as a whole. Empty for items of batch jobs, which end no endpoints by themselves,
  /// and where no evidence can match it, as it is costly for long bodies.
  std::optional<PartKey> own;
};

}  // namespace lentilhead::gateway
