#pragma once

#include <cstdint>
#include <map>

#include "admission/types/recent_count.h"

namespace lentilhead::admission {

/// Share of the recent requests of each class that were served. A class is a customer or a
/// priority.
///
/// Strict priorities and max-min shares alone could leave a class without any service for as long
/// as an overload lasts. A class that is served far less often than all goes first.
class ServedShares {
 public:
  /// Records that a request asked for a slot.
  void RecordAsked(std::int64_t of_class, net::SteadyTime now);

  /// Records that such a request got one.
  void RecordServed(std::int64_t of_class, net::SteadyTime now);

  /// Whether the class is served far less often than all classes together.
  [[nodiscard]] bool IsStarved(std::int64_t of_class, net::SteadyTime now) const;

 private:
  struct Counts {
    RecentCount asked;
    RecentCount served;
  };

  void Prune(net::SteadyTime now);

  std::map<std::int64_t, Counts> classes;
  Counts all;
  net::SteadyTime pruned;
};

}  // namespace lentilhead::admission
