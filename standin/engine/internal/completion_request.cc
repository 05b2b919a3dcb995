#include "standin/engine/internal/completion_request.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

#include "framework/hash.h"
#include "standin/engine/text_generator.h"

namespace lentilhead::standin {

namespace {

using nlohmann::json;

constexpr std::size_t kSharedPrefixBytes = 256;
constexpr int kMaxTokens = 1'000'000;

CompletionError Invalid(std::string code, std::string message) {
  return {400, std::move(code), std::move(message)};
}

std::string TextOf(const json& content) {
  if (content.is_string()) {
    return content.get<std::string>();
  }
  std::string text;
  for (const json& part : content) {
    if (part.is_object() && part.contains("text") && part["text"].is_string()) {
      text.append(part["text"].get<std::string>());
    }
  }
  return text;
}

bool IsMessage(const json& message) {
  return message.is_object() && message.contains("role") && message["role"].is_string() &&
         message.contains("content") &&
         (message["content"].is_string() || message["content"].is_array());
}

std::string Render(const json& message) {
  return message["role"].get<std::string>() + "\n" + TextOf(message["content"]) + "\n";
}

std::uint64_t HashOfSharedPrefix(const std::string& system, const std::string& prompt) {
  if (!system.empty()) {
    return framework::Hash(system);
  }
  return framework::Hash(std::string_view{prompt}.substr(0, kSharedPrefixBytes));
}

/// Reads the messages of a chat. If the request continues an answer, `text_so_far` receives the
/// text of the last message.
std::optional<CompletionError> ReadMessages(const json& root, CompletionRequest& request,
                                            std::string& text_so_far) {
  if (!root.contains("messages") || !root["messages"].is_array() || root["messages"].empty()) {
    return Invalid("invalid_messages", "`messages` must be a list that is not empty");
  }
  const json& messages = root["messages"];
  if (!std::all_of(messages.begin(), messages.end(), IsMessage)) {
    return Invalid("invalid_messages", "every message needs `role` and `content`");
  }
  const bool continues = root.value("continue_final_message", false);
  if (continues && messages.back()["role"] != "assistant") {
    return Invalid("invalid_continuation", "the last message must be the assistant's");
  }
  std::string system;
  const std::size_t count = messages.size() - (continues ? 1 : 0);
  for (std::size_t index = 0; index < count; ++index) {
    const std::string rendered = Render(messages[index]);
    if (messages[index]["role"] == "system" && system.size() == request.prompt.size()) {
      system.append(rendered);
    }
    request.prompt.append(rendered);
  }
  if (continues) {
    text_so_far = TextOf(messages.back()["content"]);
  }
  request.prefix_hash = HashOfSharedPrefix(system, request.prompt);
  return std::nullopt;
}

std::optional<CompletionError> ReadPrompt(const json& root, CompletionRequest& request) {
  if (!root.contains("prompt") || !root["prompt"].is_string()) {
    return Invalid("invalid_prompt", "`prompt` must be a string");
  }
  request.prompt = root["prompt"].get<std::string>();
  request.prefix_hash = HashOfSharedPrefix("", request.prompt);
  return std::nullopt;
}

std::optional<CompletionError> ReadLength(const json& root, const std::string& text_so_far,
                                          CompletionRequest& request) {
  const TextGenerator generator(request.prompt);
  const std::optional<int> offset = generator.CountTokens(text_so_far);
  if (!offset) {
    return Invalid("invalid_continuation", "the text does not begin this prompt's answer");
  }
  request.offset = *offset;
  const char* key = root.contains("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
  if (!root.contains(key) || root[key].is_null()) {
    request.ends_naturally = true;
    request.tokens = std::max(0, generator.NaturalLength() - request.offset);
    return std::nullopt;
  }
  if (!root[key].is_number_integer() || root[key] < 0 || root[key] > kMaxTokens) {
    return Invalid("invalid_max_tokens", "`max_tokens` must be from 0 to 1000000");
  }
  request.tokens = root[key].get<int>();
  return std::nullopt;
}

framework::Reply<CompletionRequest, CompletionError> ReadRequest(CompletionKind kind,
                                                                 const json& root) {
  if (!root.is_object() || !root.contains("model") || !root["model"].is_string()) {
    return Invalid("invalid_model", "`model` must be a string");
  }
  CompletionRequest request;
  request.kind = kind;
  request.model = root["model"].get<std::string>();
  request.streams = root.value("stream", false);
  const json options = root.value("stream_options", json::object());
  request.includes_usage = options.is_object() && options.value("include_usage", false);
  std::string text_so_far;
  std::optional<CompletionError> error = kind == CompletionKind::kChat
                                             ? ReadMessages(root, request, text_so_far)
                                             : ReadPrompt(root, request);
  if (!error) {
    error = ReadLength(root, text_so_far, request);
  }
  if (error) {
    return *std::move(error);
  }
  return request;
}

}  // namespace

framework::Reply<CompletionRequest, CompletionError> ParseCompletionRequest(CompletionKind kind,
                                                                            std::string_view body) {
  const json root = json::parse(body, nullptr, false);
  if (root.is_discarded()) {
    return Invalid("invalid_json", "the body is not JSON");
  }
  try {
    return ReadRequest(kind, root);
  } catch (const json::exception& error) {
    return Invalid("invalid_request", error.what());
  }
}

}  // namespace lentilhead::standin
