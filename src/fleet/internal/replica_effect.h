#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lentilhead::fleet::internal {

/// Reads the current revision from the store.
struct ReadStore {};

/// Reads the document of the store's current revision.
struct FetchFromStore {};

/// Reads the document from a peer that has reported this revision.
struct FetchFromPeer {
  std::string address;
  std::uint64_t revision = 0;
};

using ReplicaEffect = std::variant<ReadStore, FetchFromStore, FetchFromPeer>;
using ReplicaEffects = std::vector<ReplicaEffect>;

}  // namespace lentilhead::fleet::internal
