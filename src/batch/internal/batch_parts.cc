#include "batch/internal/batch_parts.h"

namespace lentilhead::batch::internal {

std::string PeerUrl(const fleet::FleetView& view, const std::string& instance) {
  const fleet::FleetInstance* found = view.Find(instance);
  return found == nullptr ? std::string() : "http://" + found->batch_address + "/rpc";
}

}  // namespace lentilhead::batch::internal
