#include "online/tests/stream_simulation.h"

#include <nlohmann/json.hpp>

#include "framework/event_stream_reader.h"
#include "online/internal/invariant.h"

namespace lentilhead::online {

namespace {

using internal::Invariant;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kTokens = 40;
constexpr int kOk = 200;
constexpr const char* kBody =
    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]})";

internal::AttemptPolicy Policy() {
  internal::AttemptPolicy policy;
  policy.streamed = true;
  policy.resumable = true;
  policy.max_attempts = 6;
  policy.deadline = framework::MonotonicTime(milliseconds(60'000));
  return policy;
}

std::string Event(const std::string& text, bool finish) {
  json delta = json::object();
  if (!text.empty()) {
    delta["content"] = text;
  }
  json choice = {{"index", 0}, {"delta", delta}};
  choice["finish_reason"] = finish ? json("stop") : json(nullptr);
  return "data: " + json({{"id", "x"}, {"choices", {choice}}}).dump() + "\n\n";
}

std::string Token(int index) { return "t" + std::to_string(index) + " "; }

}  // namespace

struct StreamSimulation::Visitor {
  StreamSimulation& simulation;

  void operator()(const internal::SendAttempt& send) const { this->simulation.Attempt(send); }
  void operator()(const internal::WaitBackoff& wait) const {
    this->simulation.Deliver(wait.delay, internal::BackoffElapsed{});
  }
  void operator()(const internal::ForwardEvents& forward) const {
    this->simulation.Forward(forward.events);
  }
  void operator()(const internal::FinishStream& /*finish*/) const { this->simulation.End(true); }
  void operator()(const internal::FailStream& /*fail*/) const { this->simulation.End(false); }
  void operator()(const internal::Refuse& refuse) const {
    internal::Require(refuse.refusal.outcome != Outcome::kNotRun || !this->simulation.ran,
                      Invariant::kNotRunDidNotRun);
    this->simulation.End(false);
  }
  template <class Other>
  void operator()(const Other& /*other*/) const {}
};

StreamSimulation::StreamSimulation(std::uint64_t seed, InjectedStreamFault fault)
    : queue(seed), fault(fault), machine(Policy(), this->budget, kBody, seed) {
  for (int index = 0; index < kTokens; ++index) {
    this->expected.append(Token(index));
  }
}

int StreamSimulation::Run() {
  this->Apply(this->machine.Start(this->queue.now));
  if (this->queue.Chance(0.1)) {
    this->queue.After(this->queue.RandomDelayUpTo(500), [this] {
      this->disconnected = !this->machine.Ended();
      this->Apply(this->machine.Handle(internal::CallerDisconnected{}, this->queue.now));
    });
  }
  this->Deliver(milliseconds(60'000), internal::DeadlineReached{});
  int steps = 0;
  while (this->queue.RunNext()) {
    steps += 1;
  }
  return steps;
}

void StreamSimulation::Apply(const internal::AttemptEffects& effects) {
  for (const internal::AttemptEffect& effect : effects) {
    std::visit(Visitor{*this}, effect);
  }
}

void StreamSimulation::Deliver(milliseconds delay, const internal::AttemptEvent& event) {
  this->queue.After(delay,
                    [this, event] { this->Apply(this->machine.Handle(event, this->queue.now)); });
}

void StreamSimulation::DeliverBytes(milliseconds delay, int attempt, const std::string& bytes) {
  this->queue.After(delay, [this, attempt, bytes] {
    const bool renumber = this->fault == InjectedStreamFault::kLateBytesAsCurrent;
    const internal::AnswerData data{renumber ? this->current : attempt, bytes};
    this->Apply(this->machine.Handle(data, this->queue.now));
  });
}

void StreamSimulation::Attempt(const internal::SendAttempt& send) {
  this->current = send.attempt;
  const bool refuses =
      this->fault == InjectedStreamFault::kRunsRefusedRequest && this->queue.Chance(0.5);
  const int choice = refuses ? 1 : this->queue.RandomBelow(10);
  if (choice == 0) {
    this->Deliver(milliseconds(1), internal::AnswerEnd{send.attempt, internal::AttemptFailure{}});
    return;
  }
  if (choice == 1) {
    this->ran = this->ran || this->fault == InjectedStreamFault::kRunsRefusedRequest;
    this->Deliver(milliseconds(1), internal::AnswerHead{send.attempt, 429, false, {}});
    this->DeliverBytes(milliseconds(2), send.attempt, R"({"error":{"code":"busy"}})");
    this->Deliver(milliseconds(3), internal::AnswerEnd{send.attempt, std::nullopt});
    return;
  }
  this->ran = true;
  if (choice == 2) {
    this->Deliver(this->queue.RandomDelayUpTo(100),
                  internal::AnswerEnd{send.attempt, internal::AttemptFailure{true, true}});
    return;
  }
  std::size_t offset = 0;
  if (!send.resume_body.empty()) {
    const json body = json::parse(send.resume_body);
    const json& last = body["messages"].back();
    offset = last["role"] == "assistant" ? last["content"].get<std::string>().size() : 0;
    this->resumed += 1;
  }
  if (this->fault == InjectedStreamFault::kWrongResumeOffset && offset > 0) {
    offset -= 1;
  }
  this->Stream(send.attempt, offset);
}

void StreamSimulation::Stream(int attempt, std::size_t offset) {
  std::string bytes = "data: " +
                      json({{"id", "attempt-" + std::to_string(attempt)},
                            {"choices", {{{"index", 0}, {"delta", {{"role", "assistant"}}}}}}})
                          .dump() +
                      "\n\n";
  for (std::size_t at = offset; at < this->expected.size(); at += 3) {
    bytes.append(Event(this->expected.substr(at, 3), false));
  }
  bytes.append(Event("", true)).append("data: [DONE]\n\n");
  const bool cut = this->queue.Chance(0.5);
  const std::size_t sent =
      cut ? static_cast<std::size_t>(this->queue.RandomBelow(static_cast<int>(bytes.size()) + 1))
          : bytes.size();
  this->Deliver(milliseconds(1), internal::AnswerHead{attempt, kOk, true, {}});
  milliseconds delay(1);
  for (std::size_t at = 0; at < sent;) {
    const auto size = std::min<std::size_t>(
        static_cast<std::size_t>(this->queue.RandomBelow(200)) + 1, sent - at);
    delay += milliseconds(this->queue.RandomBelow(10));
    this->DeliverBytes(delay, attempt, bytes.substr(at, size));
    at += size;
  }
  std::optional<internal::AttemptFailure> failure;
  if (cut && this->queue.Chance(0.5)) {
    failure = internal::AttemptFailure{true, this->queue.Chance(0.5)};
  }
  this->Deliver(delay + milliseconds(1), internal::AnswerEnd{attempt, failure});
  if (cut) {
    // More bytes of the attempt arrive after it has ended.
    this->DeliverBytes(delay + this->queue.RandomDelayUpTo(50), attempt, Event("late", false));
  }
}

void StreamSimulation::Forward(const std::string& events) {
  internal::Require(!this->finished && !this->failed, Invariant::kOneFinalAnswer);
  framework::EventStreamReader reader;
  reader.Feed(events, [this](std::string_view data) {
    if (data == "[DONE]") {
      this->done_received = true;
      return;
    }
    const json delta = json::parse(data)["choices"][0]["delta"];
    this->received.append(delta.value("content", ""));
  });
  internal::Require(this->expected.starts_with(this->received), Invariant::kOwnBytesOnly);
}

void StreamSimulation::End(bool whole) {
  internal::Require(!this->finished && !this->failed, Invariant::kOneFinalAnswer);
  internal::Require(!whole || (this->received == this->expected && this->done_received),
                    Invariant::kOwnBytesOnly);
  internal::Require(whole || !this->done_received, Invariant::kOneFinalAnswer);
  this->finished = whole;
  this->failed = !whole;
}

}  // namespace lentilhead::online
