#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "sheet/types/sheet_problem.h"

namespace lentilhead::sheet::internal {

/// One record of a CSV text.
struct CsvRecord {
  int line = 0;  ///< 1-based line on which the record starts.
  std::vector<std::string> fields;
};

/// Splits a CSV text into records with libcsv. A malformed record becomes a problem and reading
/// goes on with the next line.
std::vector<CsvRecord> ReadCsv(std::string_view text, std::vector<SheetProblem>& problems);

}  // namespace lentilhead::sheet::internal
