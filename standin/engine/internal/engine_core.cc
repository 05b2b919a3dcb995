#include "standin/engine/internal/engine_core.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

#include "framework/http_error.h"

namespace lentilhead::standin {

using framework::HttpExchange;
using framework::RespondError;

namespace {

/// Tokens that become due within this time are written together.
constexpr std::chrono::microseconds kMinAdvanceInterval{250};

BatchTiming TimingOf(const EngineOptions& options) {
  return {.slots = options.slots,
          .token_interval = options.token_interval,
          .prefill = options.prefill,
          .cache_prefixes = options.cache_prefixes};
}

ModelState InitialStateOf(const EngineOptions& options) {
  if (options.kind == EngineKind::kPlain) {
    return {};
  }
  return {.model = options.model,
          .version = options.version,
          .adapters = options.adapters,
          .role = options.role};
}

bool Contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

}  // namespace

EngineCore::EngineCore(EngineOptions given, framework::TimerService& timers)
    : options(std::move(given)),
      timers(timers),
      batch(TimingOf(this->options)),
      history(this->options.report_lag),
      cache_events(this->options.report_lag),
      orders(InitialStateOf(this->options), this->options.fencing_enforced) {
  this->RecordLoad();
}

void EngineCore::Complete(CompletionKind kind, const std::shared_ptr<HttpExchange>& exchange) {
  if (this->Refuse(*exchange)) {
    return;
  }
  auto parsed = ParseCompletionRequest(kind, exchange->Body());
  if (!parsed) {
    const CompletionError& error = parsed.Error();
    RespondError(*exchange, {error.status, "invalid_request_error", error.code, error.message,
                             std::nullopt, "not_run"});
    return;
  }
  if (!this->Serves(parsed.Value().model)) {
    RespondError(*exchange, {404, "invalid_request_error", "model_not_found",
                             "the model is not loaded", std::nullopt, "not_run"});
    return;
  }
  EngineRequest request{.exchange = exchange};
  request.completion = std::make_unique<CompletionJob>(
      std::move(parsed.Value()),
      "chatcmpl-" + this->options.name + "-" + std::to_string(this->next_id));
  const std::uint64_t prefix_hash = request.completion->request.prefix_hash;
  const int tokens = request.completion->request.tokens;
  bool hangs = false;
  this->AssignFaults(request, request.completion->request.prompt, hangs);
  this->Submit(std::move(request), prefix_hash, tokens, hangs);
}

void EngineCore::Call(const std::shared_ptr<HttpExchange>& exchange) {
  if (this->Refuse(*exchange)) {
    return;
  }
  EngineRequest request{.exchange = exchange};
  bool hangs = false;
  this->AssignFaults(request, exchange->Body(), hangs);
  this->Submit(std::move(request), 0, 1, hangs);
}

bool EngineCore::Refuse(HttpExchange& exchange) {
  if (this->orders.State().draining || this->loading) {
    this->stats.refused_draining += 1;
    RespondError(exchange, {503, "unavailable", "draining", "the engine takes no new requests",
                            std::nullopt, "not_run"});
    return true;
  }
  const bool ordered = this->faults.refuse_next > 0;
  if (ordered || this->batch.Waiting() >= this->options.queue_limit) {
    this->faults.refuse_next -= ordered ? 1 : 0;
    this->stats.refused_busy += 1;
    RespondError(exchange, {429, "overloaded", "busy", "the engine's queue is full",
                            std::chrono::seconds(1), "not_run"});
    return true;
  }
  return false;
}

bool EngineCore::Serves(const std::string& model) const {
  const ModelState& state = this->orders.State();
  if (model == state.model) {
    return true;
  }
  return std::any_of(state.adapters.begin(), state.adapters.end(), [&](const std::string& adapter) {
    return model == state.model + ":" + adapter;
  });
}

void EngineCore::AssignFaults(EngineRequest& request, std::string_view prompt, bool& hangs) {
  request.request_class = request.exchange->Header("X-Request-Class").value_or("none");
  request.idempotency_key = request.exchange->Header("Idempotency-Key").value_or("");
  request.fails = Contains(prompt, "poison-fail");
  request.crashes = Contains(prompt, "poison-crash");
  hangs = Contains(prompt, "poison-hang");
  if (this->faults.fail_next > 0) {
    this->faults.fail_next -= 1;
    request.fails = true;
  } else if (this->faults.hang_next > 0) {
    this->faults.hang_next -= 1;
    hangs = true;
  } else if (this->faults.cut_after_tokens > 0 && this->faults.cut_next != 0) {
    this->faults.cut_next -= this->faults.cut_next > 0 ? 1 : 0;
    request.cut_after_tokens = this->faults.cut_after_tokens;
  }
}

void EngineCore::Submit(EngineRequest request, std::uint64_t prefix_hash, int tokens, bool hangs) {
  const std::uint64_t id = this->next_id++;
  this->stats.requests += 1;
  request.exchange->OnClosed([weak = weak_from_this(), id](bool /*completed*/) {
    if (const auto core = weak.lock()) {
      core->RemoveRequest(id);
    }
  });
  this->requests.emplace(id, std::move(request));
  // A request without tokens to generate still occupies a slot for one token.
  this->batch.Submit({id, prefix_hash, std::max(tokens, 1), hangs}, this->timers.Now());
  this->RecordLoad();
  this->ScheduleAdvance();
}

void EngineCore::RemoveRequest(std::uint64_t id) {
  const auto found = this->requests.find(id);
  if (found == this->requests.end()) {
    return;
  }
  const EngineRequest& request = found->second;
  if (request.running) {
    this->stats.OnRunEnded(request.request_class);
  }
  this->stats.cancelled += request.finished ? 0 : 1;
  this->requests.erase(found);
  this->unwritten.erase(id);
  this->batch.Cancel(id, this->timers.Now());
  this->RecordLoad();
  this->ScheduleAdvance();
}

void EngineCore::AbortAll() {
  this->advance_timer.Cancel();
  const auto open = std::exchange(this->requests, {});
  for (const auto& [id, request] : open) {
    request.exchange->Abort();
  }
}

void EngineCore::SetFaults(const FaultPlan& plan) {
  this->faults = plan;
  this->batch.SetSlowFactor(plan.slow_factor);
}

void EngineCore::SetLoading(bool is_loading) {
  this->loading = is_loading;
  this->RecordLoad();
}

void EngineCore::RecordLoad() {
  const ModelState& state = this->orders.State();
  this->history.Add({.running = this->batch.Running(),
                     .waiting = this->batch.Waiting(),
                     .slots = this->options.slots,
                     .draining = state.draining || this->loading,
                     .model = state.model,
                     .version = state.version,
                     .adapters = state.adapters,
                     .role = state.role},
                    this->timers.Now());
}

void EngineCore::ScheduleAdvance() {
  const auto due = this->batch.NextDue();
  if (!due) {
    return;
  }
  const auto at = std::max(*due, this->last_advance + kMinAdvanceInterval);
  const auto delay = std::max(at - this->timers.Now(), std::chrono::nanoseconds(0));
  this->advance_timer = this->timers.After(delay, [this] { this->AdvanceBatch(); });
}

void EngineCore::AdvanceBatch() {
  this->last_advance = this->timers.Now();
  for (const GenerationEvent& event : this->batch.AdvanceTo(this->last_advance)) {
    this->Handle(event);
  }
  this->Flush();
  this->RecordCacheChanges();
  this->RecordLoad();
  this->ScheduleAdvance();
}

void EngineCore::RecordCacheChanges() {
  for (const CacheChange& change : this->batch.Cache().TakeChanges()) {
    this->cache_events.Add(change, this->timers.Now());
  }
}

std::string EngineCore::RenderCacheEvents(std::uint64_t after) {
  this->RecordCacheChanges();
  return this->cache_events.RenderAfter(after, this->timers.Now());
}

void EngineCore::Handle(const GenerationEvent& event) {
  const auto found = this->requests.find(event.id);
  if (found == this->requests.end()) {
    return;
  }
  switch (event.kind) {
    case GenerationEventKind::kAdmitted:
      this->OnAdmitted(event.id, found->second, event.cache_hit);
      return;
    case GenerationEventKind::kToken:
      this->OnToken(event.id, found->second, event.token);
      return;
    case GenerationEventKind::kFinished:
      this->OnFinished(event.id, found->second);
      return;
  }
}

void EngineCore::OnAdmitted(std::uint64_t id, EngineRequest& request, bool cache_hit) {
  request.running = true;
  this->stats.OnRunStarted(request.request_class, request.idempotency_key);
  if (request.completion) {
    (cache_hit ? this->stats.cache_hits : this->stats.cache_misses) += 1;
  }
  if (request.crashes) {
    this->options.crash();
    return;
  }
  if (!request.fails) {
    return;
  }
  const std::shared_ptr<HttpExchange> exchange = request.exchange;
  request.finished = true;
  this->RemoveRequest(id);
  RespondError(*exchange, {500, "server_error", "engine_failed", "the request failed"});
}

void EngineCore::OnToken(std::uint64_t id, EngineRequest& request, int token) {
  if (request.cut_after_tokens > 0 && token >= request.cut_after_tokens) {
    const std::shared_ptr<HttpExchange> exchange = request.exchange;
    exchange->Abort();
    return;
  }
  if (!request.completion || request.completion->request.tokens == 0) {
    return;
  }
  CompletionJob& job = *request.completion;
  this->stats.tokens += 1;
  const std::string_view text = job.generator.Token(job.request.offset + token);
  if (!job.request.streams) {
    job.pending.append(text);
    return;
  }
  if (!request.exchange->IsResponding()) {
    request.exchange->StartStream(200, "text/event-stream");
    job.pending.append(job.writer.FirstEvent());
  }
  job.writer.AppendToken(job.pending, text);
  this->unwritten.insert(id);
}

void EngineCore::OnFinished(std::uint64_t id, EngineRequest& request) {
  this->stats.OnRunEnded(request.request_class);
  this->stats.completed += 1;
  const EngineRequest finished = std::move(request);
  this->requests.erase(id);
  this->unwritten.erase(id);
  if (!finished.completion) {
    this->AnswerCall(*finished.exchange);
    return;
  }
  const CompletionJob& job = *finished.completion;
  if (!job.request.streams) {
    framework::RespondJson(*finished.exchange, 200, job.writer.RenderResponse(job.pending));
    return;
  }
  finished.exchange->StartStream(200, "text/event-stream");
  finished.exchange->WriteChunk(job.pending + job.writer.LastEvents());
  finished.exchange->FinishStream();
}

void EngineCore::AnswerCall(HttpExchange& exchange) {
  this->calls += 1;
  const nlohmann::json answer{{"endpoint", this->options.name},
                              {"service", this->options.service},
                              {"method", exchange.Method()},
                              {"path", exchange.Path()},
                              {"run", this->calls},
                              {"body", exchange.Body()}};
  framework::RespondJson(exchange, 200,
                         answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void EngineCore::Flush() {
  for (const std::uint64_t id : std::exchange(this->unwritten, {})) {
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
      continue;
    }
    const std::string events = std::exchange(found->second.completion->pending, {});
    found->second.exchange->WriteChunk(events);
  }
}

}  // namespace lentilhead::standin
