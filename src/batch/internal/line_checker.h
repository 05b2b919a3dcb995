#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "batch/internal/job_line.h"
#include "endpoint/types/service_settings.h"

namespace lentilhead::batch::internal {

/// Fault in one line of a submission.
struct LineFault {
  std::size_t line = 0;  ///< 1-based.
  std::string code;
  std::string message;
};

/// Splits the bytes of a submission into lines as they arrive, and checks each line.
class LineChecker {
 public:
  LineChecker(std::size_t max_line_bytes, std::size_t max_items,
              const endpoint::ServiceSettings& service);

  /// Processes the next bytes. Appends the valid lines to `lines`.
  void Feed(std::string_view bytes, std::vector<std::string>& lines);

  /// Processes the end of the submission.
  void Finish(std::vector<std::string>& lines);

  /// The first faults, in the order of the lines.
  [[nodiscard]] const std::vector<LineFault>& Faults() const { return this->faults; }

  /// Number of all faults, including those that Faults() leaves out.
  [[nodiscard]] std::size_t FaultCount() const { return this->fault_count; }

  [[nodiscard]] std::size_t Items() const { return this->items; }

  /// Returns true if at least one line is a call that must not be repeated.
  [[nodiscard]] bool AtMostOnce() const { return this->at_most_once; }

 private:
  void CheckLine(std::string_view line, std::vector<std::string>& lines);
  void AddFault(std::string code, std::string message);

  std::size_t max_line_bytes;
  std::size_t max_items;
  const endpoint::ServiceSettings& service;
  std::string partial;
  bool skipping = false;  ///< Inside a line that is too long.
  std::size_t line_number = 0;
  std::size_t items = 0;
  std::size_t fault_count = 0;
  bool at_most_once = false;
  std::vector<LineFault> faults;
  std::unordered_set<std::uint64_t> custom_ids;
};

}  // namespace lentilhead::batch::internal
