#include "gateway/answered_parts.h"

#include <utility>

namespace lentilhead::gateway {

void AnsweredParts::Record(PartKey part, net::SteadyTime now) {
  this->current[part] = now;
  if (this->current.size() >= kGenerationSize) {
    this->former = std::exchange(this->current, {});
  }
}

std::optional<net::SteadyTime> AnsweredParts::LastAnswer(PartKey part) const {
  for (const Generation* generation : {&this->current, &this->former}) {
    if (const auto found = generation->find(part); found != generation->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

}  // namespace lentilhead::gateway
