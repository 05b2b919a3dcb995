#include "online/types/readiness.h"

namespace lentilhead::online {

const char* NameOf(Readiness readiness) {
  switch (readiness) {
    case Readiness::kNotReady:
      return "not_ready";
    case Readiness::kReady:
      return "ready";
    case Readiness::kLeaving:
      return "leaving";
  }
  return "not_ready";
}

}  // namespace lentilhead::online
