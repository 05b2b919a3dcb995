#pragma once

#include <bitset>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "sheet/types/sheet_row.h"

namespace lentilhead::sheet::internal {

/// Finds rows that ask for the same thing at the same time of day.
class WindowMap {
 public:
  /// Adds a row. @return line of an earlier row that overlaps it; 0 if there is none.
  int Add(const SheetRow& row, int line);

 private:
  static constexpr std::size_t kMinutesOfDay = 1440;

  using Minutes = std::bitset<kMinutesOfDay>;
  using Key = std::tuple<std::string, std::string, std::string, std::string, std::set<std::string>,
                         std::set<Role>>;

  struct Claim {
    Minutes minutes;
    int last_line = 0;
  };

  static Minutes MinutesOf(const Window& window);

  std::map<Key, Claim> claims;
};

}  // namespace lentilhead::sheet::internal
