#include "gateway/probe_turn.h"

#include <xxhash.h>

#include <algorithm>

namespace lentilhead::gateway {

bool ProbeTurn::IsOwn(const std::vector<std::string>& nodes, const std::string& self, PartKey part,
                      std::uint64_t turn) {
  const auto rank = [part, turn](const std::string& node) {
    return XXH64(node.data(), node.size(), part + turn);
  };
  const std::uint64_t own = rank(self);
  return std::ranges::none_of(nodes, [&](const std::string& node) { return rank(node) > own; });
}

}  // namespace lentilhead::gateway
