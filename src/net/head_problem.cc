#include "net/head_problem.h"

namespace lentilhead::net {

std::string_view NameOf(HeadProblem problem) {
  switch (problem) {
    case HeadProblem::kStatus:
      return "status";
    case HeadProblem::kVersion:
      return "version";
    case HeadProblem::kFraming:
      return "framing";
  }
  return "unknown";
}

}  // namespace lentilhead::net
