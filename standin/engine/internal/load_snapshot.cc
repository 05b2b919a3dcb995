#include "standin/engine/internal/load_snapshot.h"

#include <nlohmann/json.hpp>

namespace lentilhead::standin {

std::string RenderLoad(const LoadSnapshot& snapshot) {
  return nlohmann::json{{"running", snapshot.running},   {"waiting", snapshot.waiting},
                        {"slots", snapshot.slots},       {"draining", snapshot.draining},
                        {"model", snapshot.model},       {"version", snapshot.version},
                        {"adapters", snapshot.adapters}, {"role", snapshot.role}}
      .dump();
}

}  // namespace lentilhead::standin
