#include "batch/internal/stream_answer.h"

#include <utility>

namespace lentilhead::batch::internal {

using nlohmann::json;

StreamAnswer::StreamAnswer(PartialAnswer partial)
    : partial(std::move(partial)), continued_tokens(this->partial.tokens) {}

void StreamAnswer::Feed(std::string_view bytes) {
  this->reader.Feed(bytes, [this](std::string_view data) { this->OnEvent(data); });
}

void StreamAnswer::OnEvent(std::string_view data) {
  if (data == "[DONE]") {
    this->complete = true;
    return;
  }
  json event = json::parse(data, nullptr, false);
  if (!event.is_object() || event.contains("error")) {
    this->error = true;
    return;
  }
  if (event.contains("usage") && event["usage"].is_object()) {
    this->usage = event["usage"];
  }
  const json choices = event.value("choices", json::array());
  event.erase("choices");
  event.erase("usage");
  this->head = std::move(event);
  if (!choices.is_array() || choices.empty() || !choices[0].is_object()) {
    return;
  }
  const json delta = choices[0].value("delta", json::object());
  const auto piece = delta.is_object() ? delta.find("content") : delta.end();
  if (piece != delta.end() && piece->is_string()) {
    const std::string& token = piece->get_ref<const std::string&>();
    this->partial.text += token;
    this->partial.tokens += token.empty() ? 0 : 1;
  }
  const auto finish = choices[0].find("finish_reason");
  if (finish != choices[0].end() && finish->is_string()) {
    this->finish_reason = finish->get<std::string>();
  }
}

std::string StreamAnswer::Render() const {
  json answer = this->head.is_object() ? this->head : json::object();
  answer["object"] = "chat.completion";
  answer["choices"] =
      json::array({{{"index", 0},
                    {"message", {{"role", "assistant"}, {"content", this->partial.text}}},
                    {"finish_reason", this->finish_reason}}});
  if (!this->usage.is_null()) {
    answer["usage"] = this->usage;
    for (const char* count : {"completion_tokens", "total_tokens"}) {
      answer["usage"][count] = this->usage.value(count, std::int64_t{0}) + this->continued_tokens;
    }
  }
  return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace lentilhead::batch::internal
