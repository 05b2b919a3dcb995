#include "gateway/route_durations.h"

namespace lentilhead::gateway {

namespace {

constexpr double kNewestWeight = 0.1;
constexpr std::size_t kMaxRoutes = 4096;  // bounds the memory of routes that were removed

}  // namespace

void RouteDurations::Record(const std::string& route, std::chrono::milliseconds duration) {
  const auto known = this->averages.find(route);
  if (known != this->averages.end()) {
    known->second += kNewestWeight * (duration - known->second);
    return;
  }
  if (this->averages.size() >= kMaxRoutes) {
    this->averages.clear();
  }
  this->averages.emplace(route, duration);
}

std::optional<std::chrono::milliseconds> RouteDurations::Average(const std::string& route) const {
  const auto known = this->averages.find(route);
  if (known == this->averages.end()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(known->second);
}

}  // namespace lentilhead::gateway
