#pragma once

#include <json/json.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lentilhead::fleet::internal {

/// Returns a text field of an object, or an empty text if it is missing or of another type.
std::string TextField(const Json::Value& object, const char* name);

/// Returns an unsigned integer field of an object, or 0 if it is missing or of another type.
std::uint64_t CountField(const Json::Value& object, const char* name);

/// Returns a duration field in milliseconds, or no value if it is missing or of another type.
std::optional<std::chrono::milliseconds> DurationField(const Json::Value& object, const char* name);

/// Returns a field of an object, or null if the field is missing or `object` is not an object.
Json::Value ValueField(const Json::Value& object, const char* name);

}  // namespace lentilhead::fleet::internal
