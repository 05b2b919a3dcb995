#include "standin/engine/continuous_batch.h"

#include <algorithm>
#include <chrono>

namespace lentilhead::standin {

using framework::MonotonicTime;

ContinuousBatch::ContinuousBatch(BatchTiming timing)
    : timing(timing), cache(timing.cache_prefixes) {}

void ContinuousBatch::Submit(const GenerationRequest& request, MonotonicTime now) {
  this->waiting.push_back(request);
  this->Admit(now);
}

void ContinuousBatch::Cancel(std::uint64_t id, MonotonicTime now) {
  const auto found = this->running.find(id);
  if (found != this->running.end()) {
    this->due_times.erase({found->second.due, id});
    this->running.erase(found);
    this->Admit(now);
    return;
  }
  std::erase_if(this->waiting, [id](const GenerationRequest& request) { return request.id == id; });
}

std::optional<MonotonicTime> ContinuousBatch::NextDue() const {
  if (!this->events.empty()) {
    return this->events.front().time;
  }
  if (this->due_times.empty()) {
    return std::nullopt;
  }
  return this->due_times.begin()->first;
}

std::vector<GenerationEvent> ContinuousBatch::AdvanceTo(MonotonicTime now) {
  while (!this->due_times.empty() && this->due_times.begin()->first <= now) {
    const auto [due, id] = *this->due_times.begin();
    this->due_times.erase(this->due_times.begin());
    this->Generate(id, due);
  }
  return std::exchange(this->events, {});
}

void ContinuousBatch::Admit(MonotonicTime now) {
  while (!this->waiting.empty() && this->Running() < this->timing.slots) {
    const GenerationRequest request = this->waiting.front();
    this->waiting.pop_front();
    const bool hit = request.prefix_hash != 0 && this->cache.Touch(request.prefix_hash);
    const double share = hit ? this->timing.cached_prefill_share : 1.0;
    const auto prefill = std::chrono::duration_cast<std::chrono::nanoseconds>(
        this->Scaled(this->timing.prefill) * share);
    const Generation generation{.tokens = request.tokens, .due = now + prefill};
    this->running.emplace(request.id, generation);
    if (!request.hangs) {
      this->due_times.emplace(generation.due, request.id);
    }
    this->events.push_back(
        {.id = request.id, .kind = GenerationEventKind::kAdmitted, .time = now, .cache_hit = hit});
  }
}

void ContinuousBatch::Generate(std::uint64_t id, MonotonicTime due) {
  Generation& generation = this->running.at(id);
  this->events.push_back(
      {.id = id, .kind = GenerationEventKind::kToken, .time = due, .token = generation.next_token});
  generation.next_token += 1;
  if (generation.next_token < generation.tokens) {
    generation.due = due + this->Scaled(this->timing.token_interval);
    this->due_times.emplace(generation.due, id);
    return;
  }
  this->running.erase(id);
  this->events.push_back({.id = id, .kind = GenerationEventKind::kFinished, .time = due});
  this->Admit(due);
}

std::chrono::nanoseconds ContinuousBatch::Scaled(std::chrono::nanoseconds duration) const {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(duration * this->slow_factor);
}

}  // namespace lentilhead::standin
