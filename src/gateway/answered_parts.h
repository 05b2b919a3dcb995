#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "gateway/types/prompt_part.h"
#include "net/http_types.h"

namespace lentilhead::gateway {

/// Remembers the parts of prompts that were answered last, and when.
///
/// Bounded: the parts that were answered least recently are forgotten, a generation at a time.
class AnsweredParts {
 public:
  /// Parts of a generation; two are kept.
  static constexpr std::size_t kGenerationSize = 4096;

  /// Records that a request with the part was answered.
  void Record(PartKey part, net::SteadyTime now);

  /// Returns when a request with the part was answered last; empty if none is remembered.
  [[nodiscard]] std::optional<net::SteadyTime> LastAnswer(PartKey part) const;

 private:
  using Generation = std::unordered_map<PartKey, net::SteadyTime>;

  Generation current;
  Generation former;
};

}  // namespace lentilhead::gateway
