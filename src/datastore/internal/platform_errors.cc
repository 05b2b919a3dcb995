#include "datastore/internal/platform_errors.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace lentilhead::datastore {

const char* NameOf(TableErrorKind kind) {
  switch (kind) {
    case TableErrorKind::kNotFound:
      return "not_found";
    case TableErrorKind::kConflict:
      return "conflict";
    case TableErrorKind::kThrottled:
      return "throttled";
    case TableErrorKind::kUnavailable:
      return "unavailable";
    case TableErrorKind::kOutcomeUnknown:
      return "outcome_unknown";
    case TableErrorKind::kInvalidAnswer:
      return "invalid_answer";
    case TableErrorKind::kBudgetExhausted:
      return "budget_exhausted";
  }
  return "unknown";
}

const char* NameOf(ObjectErrorKind kind) {
  switch (kind) {
    case ObjectErrorKind::kNotFound:
      return "not_found";
    case ObjectErrorKind::kThrottled:
      return "throttled";
    case ObjectErrorKind::kUnavailable:
      return "unavailable";
    case ObjectErrorKind::kOutcomeUnknown:
      return "outcome_unknown";
    case ObjectErrorKind::kInvalidAnswer:
      return "invalid_answer";
  }
  return "unknown";
}

namespace internal {

namespace {

constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstServerError = 500;

/// Reads the `code` of an OData error; empty if there is none.
std::string ODataCodeOf(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("odata.error") || !json["odata.error"].is_object()) {
    return {};
  }
  const nlohmann::json& error = json["odata.error"];
  const auto code = error.find("code");
  return code != error.end() && code->is_string() ? code->get<std::string>() : std::string();
}

TableErrorKind TableKindOf(int status, const std::string& code, CallKind kind) {
  if (status == kNotFound) {
    return code == "TableNotFound" ? TableErrorKind::kUnavailable : TableErrorKind::kNotFound;
  }
  if (status == kPreconditionFailed || (status == kConflict && code == "EntityAlreadyExists")) {
    return TableErrorKind::kConflict;
  }
  if (status == kConflict) {
    return TableErrorKind::kUnavailable;
  }
  if (status == kTooManyRequests || (status == kServiceUnavailable && code == "ServerBusy")) {
    return TableErrorKind::kThrottled;
  }
  if (status < kFirstServerError) {
    return TableErrorKind::kInvalidAnswer;
  }
  return kind == CallKind::kWrite ? TableErrorKind::kOutcomeUnknown : TableErrorKind::kUnavailable;
}

ObjectErrorKind ObjectKindOf(int status, CallKind kind) {
  if (status == kNotFound) {
    return ObjectErrorKind::kNotFound;
  }
  if (status == kTooManyRequests || status == kServiceUnavailable) {
    return ObjectErrorKind::kThrottled;
  }
  if (status < kFirstServerError) {
    return ObjectErrorKind::kInvalidAnswer;
  }
  return kind == CallKind::kWrite ? ObjectErrorKind::kOutcomeUnknown
                                  : ObjectErrorKind::kUnavailable;
}

std::string DetailOf(const framework::HttpFailure& failure) {
  return std::string(framework::NameOf(failure.kind)).append(": ").append(failure.detail);
}

bool MayHaveTakenEffect(const framework::HttpFailure& failure, CallKind kind) {
  return kind == CallKind::kWrite && failure.request_started;
}

}  // namespace

TableError TableErrorOf(const framework::HttpFailure& failure, CallKind kind) {
  const bool unknown = MayHaveTakenEffect(failure, kind);
  return {unknown ? TableErrorKind::kOutcomeUnknown : TableErrorKind::kUnavailable,
          DetailOf(failure)};
}

TableError TableErrorOf(const framework::HttpResponse& response, CallKind kind) {
  const std::string code = ODataCodeOf(response.body);
  return {TableKindOf(response.head.status, code, kind),
          "status " + std::to_string(response.head.status) + " " + code};
}

ObjectError ObjectErrorOf(const framework::HttpFailure& failure, CallKind kind) {
  const bool unknown = MayHaveTakenEffect(failure, kind);
  return {unknown ? ObjectErrorKind::kOutcomeUnknown : ObjectErrorKind::kUnavailable,
          DetailOf(failure)};
}

ObjectError ObjectErrorOf(const framework::HttpResponse& response, CallKind kind) {
  return {ObjectKindOf(response.head.status, kind),
          "status " + std::to_string(response.head.status)};
}

}  // namespace internal

}  // namespace lentilhead::datastore
