#include "sheet/internal/window_map.h"

namespace lentilhead::sheet::internal {

WindowMap::Minutes WindowMap::MinutesOf(const Window& window) {
  const Minutes all = ~Minutes();
  const auto start = static_cast<std::size_t>(window.start.count());
  const auto end = static_cast<std::size_t>(window.end.count());
  const Minutes from_start = all << start;
  const Minutes before_end = ~(all << end);
  return start < end ? from_start & before_end : from_start | before_end;
}

int WindowMap::Add(const SheetRow& row, int line) {
  const Minutes minutes = MinutesOf(row.window);
  Claim& claim =
      this->claims[Key{row.service, row.model, row.version, row.adapter, row.zones, row.roles}];
  if ((claim.minutes & minutes).any()) {
    return claim.last_line;
  }
  claim.minutes |= minutes;
  claim.last_line = line;
  return 0;
}

}  // namespace lentilhead::sheet::internal
