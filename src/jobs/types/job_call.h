#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace lentilhead::jobs {

/// Reads the results from a position on, including it.
struct ReadResultsCall {
  std::string job;
  std::uint64_t from = 0;
};

/// Reads the body of an item.
struct ReadItemCall {
  std::string job;
  std::string item;
};

struct EndJobCall {
  std::string job;
};

/// A call that the job API does not have.
struct UnknownCall {};

using JobCall = std::variant<ReadResultsCall, ReadItemCall, EndJobCall, UnknownCall>;

}  // namespace lentilhead::jobs
