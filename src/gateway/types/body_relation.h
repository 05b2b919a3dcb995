#pragma once

#include <string_view>

namespace lentilhead::gateway {

/// How the bodies of two answers without framing to one request relate.
enum class BodyRelation {
  kSame,         ///< they end at the same byte
  kFirstIsCut,   ///< the second one goes on where the first one ends
  kSecondIsCut,  ///< the first one goes on where the second one ends
  kVaries,  ///< the content differs from run to run, so that neither tells where the other ends
};

/// Compares the bodies of two answers.
[[nodiscard]] inline BodyRelation RelationOf(std::string_view first, std::string_view second) {
  if (first.size() == second.size()) {
    return BodyRelation::kSame;
  }
  if (second.starts_with(first)) {
    return BodyRelation::kFirstIsCut;
  }
  return first.starts_with(second) ? BodyRelation::kSecondIsCut : BodyRelation::kVaries;
}

}  // namespace lentilhead::gateway
