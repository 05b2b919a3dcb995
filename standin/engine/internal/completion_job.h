#pragma once

#include <string>
#include <utility>

#include "standin/engine/internal/completion_request.h"
#include "standin/engine/internal/completion_writer.h"
#include "standin/engine/text_generator.h"

namespace lentilhead::standin {

/// State of a completion that the engine generates.
struct CompletionJob {
  CompletionJob(CompletionRequest parsed, const std::string& id)
      : request(std::move(parsed)), writer(this->request, id), generator(this->request.prompt) {}
  CompletionJob(const CompletionJob&) = delete;
  CompletionJob& operator=(const CompletionJob&) = delete;

  CompletionRequest request;
  CompletionWriter writer;
  TextGenerator generator;
  std::string pending;  ///< Generated text, or events of a stream, not written yet.
};

}  // namespace lentilhead::standin
