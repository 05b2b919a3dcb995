#include "bench/online/load_worker.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace lentilhead::bench {

namespace {

constexpr std::chrono::milliseconds kTick{1};
constexpr std::string_view kContentStart = "\"content\":\"";
constexpr std::string_view kEventStart = "data: ";
constexpr int kStatusOk = 200;

std::size_t CountOccurrences(std::string_view bytes, std::string_view word) {
  std::size_t count = 0;
  for (auto at = bytes.find(word); at != std::string_view::npos;
       at = bytes.find(word, at + word.size())) {
    count += 1;
  }
  return count;
}

/// Returns true if the bytes contain an event with text.
bool HasToken(std::string_view bytes) {
  for (auto at = bytes.find(kContentStart); at != std::string_view::npos;
       at = bytes.find(kContentStart, at + 1)) {
    if (at + kContentStart.size() < bytes.size() && bytes[at + kContentStart.size()] != '"') {
      return true;
    }
  }
  return false;
}

}  // namespace

struct LoadWorker::Call {
  std::uint64_t id;
  bool through_entry;
  framework::MonotonicTime sent_at;
  bool has_token = false;
  bool ok = false;
  framework::HttpCall call;
};

LoadWorker::LoadWorker(const BenchOptions& options, int number)
    : options(options), task("load-" + std::to_string(number)) {
  const nlohmann::json request = {
      {"model", options.model},
      {"stream", true},
      {"max_tokens", options.tokens},
      {"messages", {{{"role", "user"}, {"content", "worker " + std::to_string(number)}}}}};
  this->body = request.dump();
}

void LoadWorker::Start() {
  this->task.Start(
      [this] {
        this->http = std::make_unique<framework::HttpClient>(this->task.Timers());
        this->started_at = this->task.Timers().Now();
        this->tick = this->task.Timers().Every(kTick, [this] { this->OnTick(); });
      },
      [this] {
        this->tick.Cancel();
        this->calls.clear();
        this->http.reset();
      });
}

void LoadWorker::OnTick() {
  const framework::MonotonicTime now = this->task.Timers().Now();
  if (now - this->started_at >= this->options.window * this->options.windows) {
    return;
  }
  if (this->options.mode == "first-token") {
    this->OnOpenLoopTick(now);
  } else {
    this->OnClosedLoopTick();
  }
}

void LoadWorker::OnOpenLoopTick(framework::MonotonicTime now) {
  const std::chrono::duration<double> passed = now - this->started_at;
  const auto due =
      static_cast<std::int64_t>(passed.count() * this->options.rate / this->options.threads);
  const bool through_entry = this->IsEntryWindow(now);
  while (this->started_calls < due) {
    this->started_calls += 1;
    this->StartCall(through_entry);
  }
}

void LoadWorker::OnClosedLoopTick() {
  const auto share = static_cast<std::size_t>(this->options.streams / this->options.threads);
  while (this->calls.size() < share) {
    this->StartCall(!this->options.entry.empty());
  }
}

bool LoadWorker::IsEntryWindow(framework::MonotonicTime now) const {
  return (now - this->started_at) / this->options.window % 2 == 1;
}

framework::HttpRequest LoadWorker::BuildRequest(bool through_entry) const {
  const std::string base_url =
      "http://" + (through_entry ? this->options.entry : this->options.direct);
  framework::HttpRequest request;
  request.headers.emplace_back("Authorization", "Bearer " + this->options.key);
  if (this->options.mode == "short") {
    request.url = base_url + (through_entry ? this->options.path : "/dogs");
    return request;
  }
  request.method = "POST";
  request.url = base_url + "/v1/chat/completions";
  request.content_type = "application/json";
  request.body = this->body;
  return request;
}

void LoadWorker::StartCall(bool through_entry) {
  const auto call = std::make_shared<Call>();
  call->id = this->next_id++;
  call->through_entry = through_entry;
  call->sent_at = this->task.Timers().Now();
  framework::HttpStreamHandlers handlers;
  handlers.on_head = [call](const framework::HttpResponseHead& head) {
    call->ok = head.status == kStatusOk;
  };
  handlers.on_data = [this, call](std::string_view bytes) { this->OnData(*call, bytes); };
  handlers.on_end = [this, id = call->id](const std::optional<framework::HttpFailure>& failure) {
    this->OnEnd(id, failure.has_value());
  };
  this->calls.emplace(call->id, call);
  call->call = this->http->Stream(this->BuildRequest(through_entry), std::move(handlers));
}

void LoadWorker::OnData(Call& call, std::string_view bytes) {
  SampleSet& samples = call.through_entry ? this->entry : this->direct;
  const bool is_short = this->options.mode == "short";
  samples.events += is_short ? 0 : CountOccurrences(bytes, kEventStart);
  if (call.has_token || !call.ok || (!is_short && !HasToken(bytes))) {
    return;
  }
  call.has_token = true;
  samples.durations.push_back(this->task.Timers().Now() - call.sent_at);
}

void LoadWorker::OnEnd(std::uint64_t id, bool failed) {
  const auto found = this->calls.extract(id);
  if (found.empty()) {
    return;
  }
  const Call& call = *found.mapped();
  SampleSet& samples = call.through_entry ? this->entry : this->direct;
  const bool succeeded = !failed && call.ok && call.has_token;
  samples.completed += succeeded ? 1 : 0;
  samples.failed += succeeded ? 0 : 1;
  if (this->options.mode != "first-token") {
    this->OnTick();
  }
}

}  // namespace lentilhead::bench
