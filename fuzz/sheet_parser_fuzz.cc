#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "sheet/sheet_diff.h"
#include "sheet/sheet_parser.h"

namespace {

using lentilhead::framework::Result;
using lentilhead::sheet::Diff;
using lentilhead::sheet::ParseSheet;
using lentilhead::sheet::Sheet;
using lentilhead::sheet::SheetProblem;
using lentilhead::sheet::SheetProblems;

void Require(bool condition) {
  if (!condition) {
    std::abort();
  }
}

void CheckSheet(const Sheet& sheet) {
  Require(!sheet.rows.empty());
  Require(Diff(sheet, sheet).IsEmpty());
  Require(Diff({}, sheet).added.size() == sheet.rows.size());
  for (const auto& row : sheet.rows) {
    Require(!row.service.empty() && row.capacity >= 0 && !row.roles.empty());
    Require(sheet.FindModel(row.service) != nullptr);
  }
}

void CheckProblems(const SheetProblems& found, std::string_view csv) {
  const auto lines = std::count(csv.begin(), csv.end(), '\n') + 1;
  Require(!found.problems.empty());
  for (const SheetProblem& problem : found.problems) {
    Require(problem.row >= 0 && problem.row <= lines && !problem.message.empty());
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view csv(reinterpret_cast<const char*>(data), size);
  boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(sheet, ParseSheet(csv));
        CheckSheet(sheet);
        return {};
      },
      [&](const SheetProblems& found) { CheckProblems(found, csv); }, [] { std::abort(); });
  return 0;
}
