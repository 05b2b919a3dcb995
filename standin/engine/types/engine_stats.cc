#include "standin/engine/types/engine_stats.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lentilhead::standin {

void EngineStats::OnRunStarted(const std::string& request_class,
                               const std::string& idempotency_key) {
  const int now_running = ++this->running[request_class];
  int& maximum = this->most_running[request_class];
  maximum = std::max(maximum, now_running);
  this->started[request_class] += 1;
  if (!idempotency_key.empty()) {
    this->runs[idempotency_key] += 1;
  }
}

void EngineStats::OnRunEnded(const std::string& request_class) {
  this->running[request_class] -= 1;
}

std::string EngineStats::Render() const {
  return nlohmann::json{{"requests", this->requests},
                        {"completed", this->completed},
                        {"cancelled", this->cancelled},
                        {"refused_busy", this->refused_busy},
                        {"refused_draining", this->refused_draining},
                        {"tokens", this->tokens},
                        {"cache_hits", this->cache_hits},
                        {"cache_misses", this->cache_misses},
                        {"running", this->running},
                        {"most_running", this->most_running},
                        {"started", this->started},
                        {"runs", this->runs}}
      .dump();
}

}  // namespace lentilhead::standin
