#pragma once

#include <chrono>

#include "framework/types/time_types.h"
#include "sheet/types/sheet_row.h"

namespace lentilhead::sheet {

/// True if a wall time falls into a window. The start belongs to the window, the end does not.
[[nodiscard]] bool IsActive(const Window& window, framework::WallTime now);

/// Time until a window starts next; zero while it is active.
[[nodiscard]] std::chrono::nanoseconds TimeUntilStart(const Window& window,
                                                      framework::WallTime now);

/// Time until an active window ends; zero if it is not active. A window over the whole day never
/// ends and gives the longest duration.
[[nodiscard]] std::chrono::nanoseconds TimeUntilEnd(const Window& window, framework::WallTime now);

}  // namespace lentilhead::sheet
