#include "online/internal/stream_transcript.h"

#include <nlohmann/json.hpp>

#include "framework/event_stream_reader.h"

namespace lentilhead::online::internal {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxTranscriptBytes = 256 << 10;

const json* OnlyChoice(const json& payload) {
  const auto choices = payload.find("choices");
  if (choices == payload.end() || !choices->is_array() || choices->size() != 1) {
    return nullptr;
  }
  const json& choice = choices->front();
  return choice.is_object() && choice.value("index", 0) == 0 ? &choice : nullptr;
}

void ReadChoice(const json& choice, StreamTranscript::Content& content) {
  const json delta = choice.value("delta", json::object());
  if (delta.contains("tool_calls")) {
    content.resumable = false;
  }
  const auto text = delta.find("content");
  if (text != delta.end() && text->is_string() && !text->get_ref<const std::string&>().empty()) {
    content.text.append(text->get_ref<const std::string&>());
    content.text_events += 1;
  }
  const auto reason = choice.find("finish_reason");
  content.finished = content.finished || (reason != choice.end() && !reason->is_null());
}

void ReadEvent(std::string_view data, StreamTranscript::Content& content) {
  const json payload = json::parse(data, nullptr, false);
  const json* choice = payload.is_object() ? OnlyChoice(payload) : nullptr;
  if (choice == nullptr) {
    content.resumable = false;
    return;
  }
  if (content.id.empty()) {
    content.id = payload.value("id", "");
  }
  ReadChoice(*choice, content);
}

/// Subtracts the forwarded tokens from a token limit. @return false if none remains.
bool LowerLimit(json& request, const char* key, std::size_t text_events) {
  const auto limit = request.find(key);
  if (limit == request.end() || !limit->is_number_integer()) {
    return true;
  }
  const auto remaining = limit->get<std::int64_t>() - static_cast<std::int64_t>(text_events);
  *limit = remaining;
  return remaining > 0;
}

bool HasOnlyRole(const json& choice) {
  const json delta = choice.value("delta", json::object());
  const auto text = delta.find("content");
  const bool has_text = text != delta.end() && text->is_string() && !text->empty() &&
                        !text->get_ref<const std::string&>().empty();
  const auto reason = choice.find("finish_reason");
  const bool finishes = reason != choice.end() && !reason->is_null();
  return delta.contains("role") && !has_text && !finishes;
}

}  // namespace

void StreamTranscript::Append(std::string_view new_events) {
  this->size += new_events.size();
  if (this->size > kMaxTranscriptBytes) {
    this->events = {};
    return;
  }
  this->events.append(new_events);
}

StreamTranscript::Content StreamTranscript::Read() const {
  Content content;
  if (this->size > kMaxTranscriptBytes) {
    content.resumable = false;
    return content;
  }
  framework::EventStreamReader reader;
  reader.Feed(this->events, [&](std::string_view data) { ReadEvent(data, content); });
  return content;
}

std::optional<std::string> BuildResumeBody(const std::string& body,
                                           const StreamTranscript::Content& content) {
  json request = json::parse(body, nullptr, false);
  if (!content.resumable || !request.is_object() || !request.contains("messages")) {
    return std::nullopt;
  }
  if (request.value("n", 1) != 1 || !request["messages"].is_array()) {
    return std::nullopt;
  }
  if (!LowerLimit(request, "max_tokens", content.text_events) ||
      !LowerLimit(request, "max_completion_tokens", content.text_events)) {
    return std::nullopt;
  }
  if (content.text.empty()) {
    return request.dump();
  }
  request["messages"].push_back({{"role", "assistant"}, {"content", content.text}});
  request["continue_final_message"] = true;
  request["add_generation_prompt"] = false;
  return request.dump();
}

std::string RewriteResumedEvents(std::string_view events, const std::string& id) {
  std::string rewritten;
  framework::EventStreamReader reader;
  reader.Feed(events, [&](std::string_view data) {
    json payload = json::parse(data, nullptr, false);
    if (payload.is_object()) {
      const json* choice = OnlyChoice(payload);
      if (choice != nullptr && HasOnlyRole(*choice)) {
        return;
      }
      payload["id"] = id;
      rewritten.append("data: ").append(payload.dump()).append("\n\n");
      return;
    }
    rewritten.append("data: ").append(data).append("\n\n");
  });
  return rewritten;
}

}  // namespace lentilhead::online::internal
