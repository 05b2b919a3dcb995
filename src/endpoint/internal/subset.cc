#include "endpoint/internal/subset.h"

#include <algorithm>
#include <numeric>

#include "framework/hash.h"

namespace lentilhead::endpoint::internal {

namespace {

constexpr std::size_t kLocalShareNumerator = 3;
constexpr std::size_t kLocalShareDenominator = 4;

struct RankedEndpoint {
  std::size_t index;
  std::uint64_t weight;
};

void SortByWeight(std::vector<RankedEndpoint>& ranked, const std::vector<EndpointInfo>& endpoints) {
  std::sort(ranked.begin(), ranked.end(),
            [&](const RankedEndpoint& left, const RankedEndpoint& right) {
              return left.weight != right.weight
                         ? left.weight > right.weight
                         : endpoints[left.index].name < endpoints[right.index].name;
            });
}

}  // namespace

std::vector<std::size_t> SelectSubset(const std::string& instance, const std::string& zone,
                                      const std::vector<EndpointInfo>& endpoints,
                                      std::size_t size) {
  std::vector<std::size_t> chosen(endpoints.size());
  if (endpoints.size() <= size) {
    std::iota(chosen.begin(), chosen.end(), 0);
    return chosen;
  }
  const std::uint64_t seed = framework::Hash(instance);
  std::vector<RankedEndpoint> local;
  std::vector<RankedEndpoint> remote;
  for (std::size_t index = 0; index < endpoints.size(); ++index) {
    const RankedEndpoint ranked{index, framework::Hash(endpoints[index].name, seed)};
    (endpoints[index].zone == zone ? local : remote).push_back(ranked);
  }
  SortByWeight(local, endpoints);
  SortByWeight(remote, endpoints);
  const std::size_t wanted_local = size * kLocalShareNumerator / kLocalShareDenominator;
  const std::size_t remote_count =
      std::min(remote.size(), size - std::min(wanted_local, local.size()));
  const std::size_t local_count = std::min(local.size(), size - remote_count);
  chosen.clear();
  for (std::size_t rank = 0; rank < local_count; ++rank) {
    chosen.push_back(local[rank].index);
  }
  for (std::size_t rank = 0; rank < remote_count; ++rank) {
    chosen.push_back(remote[rank].index);
  }
  return chosen;
}

}  // namespace lentilhead::endpoint::internal
