#include "standin/engine/internal/completion_writer.h"

#include <nlohmann/json.hpp>

namespace lentilhead::standin {

namespace {

constexpr int kBytesPerPromptToken = 4;
constexpr const char* kDone = "data: [DONE]\n\n";

std::string Quote(const std::string& text) { return nlohmann::json(text).dump(); }

}  // namespace

CompletionWriter::CompletionWriter(const CompletionRequest& request, const std::string& id)
    : request(request),
      common_members("\"id\":" + Quote(id) + ",\"created\":0,\"model\":" + Quote(request.model)) {
  const bool chat = request.kind == CompletionKind::kChat;
  this->chunk_start = "data: {" + this->common_members + ",\"object\":\"" +
                      (chat ? "chat.completion.chunk" : "text_completion") +
                      "\",\"choices\":[{\"index\":0," +
                      (chat ? "\"delta\":{\"content\":\"" : "\"text\":\"");
}

std::string CompletionWriter::FirstEvent() const {
  if (this->request.kind == CompletionKind::kText) {
    return "";
  }
  return "data: {" + this->common_members +
         ",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":"
         "{\"role\":\"assistant\",\"content\":\"\"},\"finish_reason\":null}]}\n\n";
}

void CompletionWriter::AppendToken(std::string& text, std::string_view token) const {
  const bool chat = this->request.kind == CompletionKind::kChat;
  text.append(this->chunk_start).append(token);
  text.append(chat ? "\"},\"finish_reason\":null}]}\n\n" : "\",\"finish_reason\":null}]}\n\n");
}

std::string CompletionWriter::LastEvents() const {
  const bool chat = this->request.kind == CompletionKind::kChat;
  const std::string start = "data: {" + this->common_members + ",\"object\":\"" +
                            (chat ? "chat.completion.chunk" : "text_completion") +
                            "\",\"choices\":[";
  std::string text = start + "{\"index\":0," + (chat ? "\"delta\":{}" : "\"text\":\"\"") +
                     ",\"finish_reason\":\"" + this->FinishReason() + "\"}]}\n\n";
  if (this->request.includes_usage) {
    text += start + "]," + this->Usage() + "}\n\n";
  }
  return text + kDone;
}

std::string CompletionWriter::RenderResponse(std::string_view text) const {
  const bool chat = this->request.kind == CompletionKind::kChat;
  const std::string content = Quote(std::string(text));
  return "{" + this->common_members + ",\"object\":\"" +
         (chat ? "chat.completion" : "text_completion") + "\",\"choices\":[{\"index\":0," +
         (chat ? "\"message\":{\"role\":\"assistant\",\"content\":" + content + "}"
               : "\"text\":" + content) +
         ",\"finish_reason\":\"" + this->FinishReason() + "\"}]," + this->Usage() + "}";
}

const char* CompletionWriter::FinishReason() const {
  return this->request.ends_naturally ? "stop" : "length";
}

std::string CompletionWriter::Usage() const {
  const std::size_t prompt =
      this->request.prompt.size() / kBytesPerPromptToken + this->request.offset;
  const std::size_t completion = this->request.tokens;
  return "\"usage\":{\"prompt_tokens\":" + std::to_string(prompt) +
         ",\"completion_tokens\":" + std::to_string(completion) +
         ",\"total_tokens\":" + std::to_string(prompt + completion) + "}";
}

}  // namespace lentilhead::standin
