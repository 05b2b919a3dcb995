#include "fleet/internal/json_fields.h"

namespace lentilhead::fleet::internal {

std::string TextField(const Json::Value& object, const char* name) {
  const Json::Value value = ValueField(object, name);
  return value.isString() ? value.asString() : std::string();
}

std::uint64_t CountField(const Json::Value& object, const char* name) {
  const Json::Value value = ValueField(object, name);
  return value.isUInt64() ? value.asUInt64() : 0;
}

std::optional<std::chrono::milliseconds> DurationField(const Json::Value& object,
                                                       const char* name) {
  const Json::Value value = ValueField(object, name);
  if (!value.isInt64()) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(value.asInt64());
}

Json::Value ValueField(const Json::Value& object, const char* name) {
  return object.isObject() ? object.get(name, Json::Value()) : Json::Value();
}

}  // namespace lentilhead::fleet::internal
