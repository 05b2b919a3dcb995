#include "placement/work_placement.h"

#include <algorithm>
#include <cmath>

namespace lentilhead::placement {

namespace {

constexpr int kBisections = 14;      // a level within 0.1 ms
constexpr double kMinUnseen = 0.05;  // reaches only the best endpoints

}  // namespace

double WorkPlacement::Expected(const WorkCandidate& candidate) {
  const double excess = candidate.in_flight + 1 - candidate.slots;
  if (excess <= -candidate.slack) {
    return candidate.first_ms;
  }
  const double near = excess + candidate.slack;
  const double queued = excess >= candidate.slack ? excess : near * near / (4 * candidate.slack);
  return candidate.first_ms + candidate.turn_ms * queued;
}

double WorkPlacement::Room(const WorkCandidate& candidate, double level_ms) {
  const double wait = level_ms - candidate.first_ms;
  if (wait <= 0) {
    return 0;
  }
  const double queued = wait / std::max(candidate.turn_ms, 1e-3);
  const double excess = queued >= candidate.slack
                            ? queued
                            : 2 * std::sqrt(candidate.slack * queued) - candidate.slack;
  return std::max(0.0, candidate.slots - 1 + excess - candidate.in_flight);
}

double WorkPlacement::Level(const std::vector<WorkCandidate>& candidates, double unseen) {
  double low = Expected(candidates.front());
  for (const WorkCandidate& candidate : candidates) {
    low = std::min(low, Expected(candidate));
  }
  const auto room = [&](double level) {
    double sum = 0;
    for (const WorkCandidate& candidate : candidates) {
      sum += Room(candidate, level);
    }
    return sum;
  };
  double high = low + 1;
  for (double step = 8; room(high) < unseen; step *= 2) {
    low = high;
    high += step;
  }
  for (int round = 0; round < kBisections && high - low > 0.05; ++round) {
    const double middle = (low + high) / 2;
    (room(middle) < unseen ? low : high) = middle;
  }
  return high;
}

std::size_t WorkPlacement::Choose(const std::vector<WorkCandidate>& candidates, double unseen,
                                  double draw) {
  const double level = Level(candidates, std::max(unseen, kMinUnseen));
  double total = 0;
  for (const WorkCandidate& candidate : candidates) {
    total += Room(candidate, level);
  }
  double left = draw * total;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    left -= Room(candidates[index], level);
    if (left < 0) {
      return index;
    }
  }
  const auto best = std::min_element(candidates.begin(), candidates.end(),
                                     [](const WorkCandidate& one, const WorkCandidate& other) {
                                       return Expected(one) < Expected(other);
                                     });
  return static_cast<std::size_t>(best - candidates.begin());
}

}  // namespace lentilhead::placement
