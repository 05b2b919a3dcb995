#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace lentilhead::fleet::internal {

/// Revision of a replicated document at one instance.
struct ReplicaRevision {
  std::uint64_t revision = 0;
  /// Time since the revision was last confirmed as the store's latest; no value if it never was.
  std::optional<std::chrono::milliseconds> store_age;
};

/// Revisions of the two replicated documents at one instance.
struct ReplicaRevisions {
  ReplicaRevision sheet;
  ReplicaRevision drains;
};

}  // namespace lentilhead::fleet::internal
