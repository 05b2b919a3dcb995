#include "endpoint/types/service_settings.h"

#include <algorithm>

namespace lentilhead::endpoint {

namespace {

bool Matches(const std::string& pattern, const std::string& path) {
  return pattern.ends_with('/') ? path.starts_with(pattern) : path == pattern;
}

}  // namespace

bool ServiceSettings::IsNonRepeatable(const std::string& method, const std::string& path) const {
  return std::any_of(this->non_repeatable.begin(), this->non_repeatable.end(),
                     [&](const NonRepeatableCall& call) {
                       return call.method == method && Matches(call.path, path);
                     });
}

}  // namespace lentilhead::endpoint
