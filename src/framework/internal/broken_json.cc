#include "framework/broken_json.h"

#include <nlohmann/json.hpp>

namespace lentilhead::framework {

namespace {

constexpr std::string_view kJsonType = "application/json";

}  // namespace

bool IsBrokenJson(std::string_view content_type, std::string_view body) {
  return content_type.starts_with(kJsonType) && !nlohmann::json::accept(body);
}

}  // namespace lentilhead::framework
