#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gateway/types/prompt_part.h"

namespace lentilhead::gateway {

/// Gives the turns to probe a held part to one node after the other.
class ProbeTurn {
 public:
  /// Tells whether a turn is that of a node.
  /// @param nodes names of the live nodes. @param self one of them.
  [[nodiscard]] static bool IsOwn(const std::vector<std::string>& nodes, const std::string& self,
                                  PartKey part, std::uint64_t turn);
};

}  // namespace lentilhead::gateway
