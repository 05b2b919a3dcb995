#include "batch/internal/job_line.h"

namespace lentilhead::batch::internal {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxCustomIdBytes = 512;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string TextOf(const json& line, const char* key) {
  const auto found = line.find(key);
  return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

boost::leaf::error_id Fail(JobLineErrorKind kind, std::string detail) {
  return boost::leaf::new_error(JobLineError{kind, std::move(detail)});
}

}  // namespace

const char* NameOf(JobLineErrorKind kind) {
  switch (kind) {
    case JobLineErrorKind::kInvalidJson:
      return "invalid_json";
    case JobLineErrorKind::kMissingCustomId:
      return "missing_custom_id";
    case JobLineErrorKind::kInvalidCustomId:
      return "invalid_custom_id";
    case JobLineErrorKind::kInvalidMethod:
      return "invalid_method";
    case JobLineErrorKind::kInvalidUrl:
      return "invalid_url";
    case JobLineErrorKind::kInvalidBody:
      return "invalid_body";
    case JobLineErrorKind::kTooLong:
      return "line_too_long";
  }
  return "invalid_json";
}

framework::Result<JobLine> ParseJobLine(std::string_view text) {
  json line = json::parse(text, nullptr, false);
  if (line.is_discarded() || !line.is_object()) {
    return Fail(JobLineErrorKind::kInvalidJson, "the line is not a JSON object");
  }
  JobLine parsed;
  parsed.custom_id = TextOf(line, "custom_id");
  if (parsed.custom_id.empty()) {
    return Fail(JobLineErrorKind::kMissingCustomId, "custom_id must be a non-empty string");
  }
  if (parsed.custom_id.size() > kMaxCustomIdBytes) {
    return Fail(JobLineErrorKind::kInvalidCustomId, "custom_id is longer than 512 bytes");
  }
  parsed.method = TextOf(line, "method");
  if (parsed.method != "POST" && parsed.method != "GET" && parsed.method != "PUT") {
    return Fail(JobLineErrorKind::kInvalidMethod, "method must be POST, GET or PUT");
  }
  parsed.url = TextOf(line, "url");
  const bool has_forbidden = parsed.url.find_first_of(" \t\r\n#") != std::string::npos;
  if (parsed.url.empty() || parsed.url.front() != '/' || has_forbidden) {
    return Fail(JobLineErrorKind::kInvalidUrl, "url must be a path");
  }
  const auto body = line.find("body");
  if (body == line.end() || (!body->is_object() && parsed.method != "GET")) {
    return Fail(JobLineErrorKind::kInvalidBody, "body must be an object");
  }
  parsed.body = std::move(*body);
  return parsed;
}

std::string RenderAnswer(const std::string& custom_id, int status, const std::string& body) {
  json parsed = json::parse(body, nullptr, false);
  if (parsed.is_discarded()) {
    parsed = body;
  }
  json line = {{"custom_id", custom_id},
               {"response", {{"status_code", status}, {"body", std::move(parsed)}}},
               {"error", nullptr}};
  if (status >= 400) {
    line["error"] = {{"code", "status_" + std::to_string(status)},
                     {"message", "the endpoint answered with status " + std::to_string(status)}};
  }
  return Dump(line);
}

std::string RenderEnd(const std::string& custom_id, EndReason reason) {
  return Dump(
      {{"custom_id", custom_id},
       {"response", nullptr},
       {"error",
        {{"code", NameOf(reason)},
         {"message", std::string("the item ended without an answer: ") + NameOf(reason)}}}});
}

}  // namespace lentilhead::batch::internal
