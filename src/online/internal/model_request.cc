#include "online/internal/model_request.h"

#include <algorithm>
#include <utility>

#include "framework/hash.h"

namespace lentilhead::online::internal {

namespace {

using nlohmann::json;

constexpr std::size_t kHashedPrefixBytes = 256;
constexpr double kBytesPerToken = 4;
constexpr double kDefaultMaxTokens = 256;

bool IsTrue(const json& body, const char* key) {
  const auto found = body.find(key);
  return found != body.end() && found->is_boolean() && found->get<bool>();
}

bool HasValidTypes(const json& body, bool chat) {
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string() || model->get_ref<const std::string&>().empty()) {
    return false;
  }
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_boolean() && !stream->is_null()) {
    return false;
  }
  if (!chat) {
    return body.contains("prompt");
  }
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return false;
  }
  return std::all_of(messages->begin(), messages->end(),
                     [](const json& message) { return message.is_object(); });
}

std::string PrefixOfMessages(const json& messages) {
  std::string prefix;
  for (const json& message : messages) {
    const auto content = message.find("content");
    if (content != message.end()) {
      prefix.append(content->is_string() ? content->get_ref<const std::string&>()
                                         : content->dump());
    }
    if (prefix.size() >= kHashedPrefixBytes) {
      break;
    }
  }
  return prefix.substr(0, kHashedPrefixBytes);
}

std::string PrefixOf(const json& body, bool chat) {
  if (chat) {
    return PrefixOfMessages(body["messages"]);
  }
  const json& prompt = body["prompt"];
  const std::string text = prompt.is_string() ? prompt.get<std::string>() : prompt.dump();
  return text.substr(0, kHashedPrefixBytes);
}

double EstimateTokens(const json& body, std::size_t size) {
  double tokens = kDefaultMaxTokens;
  for (const char* key : {"max_tokens", "max_completion_tokens"}) {
    const auto limit = body.find(key);
    if (limit != body.end() && limit->is_number()) {
      tokens = std::max(1.0, limit->get<double>());
    }
  }
  return tokens + static_cast<double>(size) / kBytesPerToken;
}

bool IsResumable(const json& body, bool chat) {
  const auto choices = body.find("n");
  const bool one_choice = choices == body.end() || *choices == 1;
  return chat && one_choice && !body.contains("tools") && !body.contains("stream_options") &&
         !body.contains("logprobs");
}

}  // namespace

std::variant<ModelRequest, RefusalReason> ParseModelRequest(std::string_view text, bool chat) {
  json body = json::parse(text, nullptr, false);
  if (!body.is_object()) {
    return RefusalReason::kInvalidJson;
  }
  if (!HasValidTypes(body, chat)) {
    return RefusalReason::kInvalidRequest;
  }
  ModelRequest request;
  request.model = body["model"].get<std::string>();
  request.stream = IsTrue(body, "stream");
  request.resumable = request.stream && IsResumable(body, chat);
  request.cost = EstimateTokens(body, text.size());
  request.prefix_hash = framework::Hash(PrefixOf(body, chat));
  request.body = std::move(body);
  return request;
}

}  // namespace lentilhead::online::internal
