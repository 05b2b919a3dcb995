#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace lentilhead::jobs {

/// Reads results from a position on.
struct ReadResultsCall {
  std::string job;
  std::uint64_t after = 0;
};

/// Reads the body of an item.
struct ReadItemCall {
  std::string job;
  std::string item;
};

/// Ends a job.
struct EndJobCall {
  std::string job;
};

/// A call on a job that the interface does not have.
struct UnknownCall {};

using JobCall = std::variant<ReadResultsCall, ReadItemCall, EndJobCall, UnknownCall>;

}  // namespace lentilhead::jobs
