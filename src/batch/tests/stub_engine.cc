#include "batch/tests/stub_engine.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace lentilhead::batch {

using nlohmann::json;

StubEngine::StubEngine(framework::TimerService& timers, int slots,
                       std::chrono::milliseconds answer_time)
    : timers(timers),
      slots(slots),
      answer_time(answer_time),
      server(framework::HttpServerSettings{}, this->router, this->metrics) {
  this->router.Add("GET", "/load", [this](const Exchange& exchange) {
    const json load = {{"running", this->running},  {"waiting", 0}, {"slots", this->slots},
                       {"draining", false},         {"model", "m"}, {"version", "1"},
                       {"adapters", json::array()}, {"role", ""}};
    exchange->Respond(200, "application/json", load.dump());
  });
  this->router.Add("POST", "/", [this](const Exchange& exchange) { this->OnChat(exchange); });
  const framework::Result<std::uint16_t> port = this->server.Listen();
  if (!port) {
    std::abort();
  }
  this->address = "127.0.0.1:" + std::to_string(port.value());
}

void StubEngine::OnChat(const Exchange& exchange) {
  const json body = json::parse(exchange->Body(), nullptr, false);
  const std::string text = body["messages"].back().value("content", "");
  this->request_counts[text] += 1;
  this->running += 1;
  this->max_running = std::max(this->max_running, this->running);
  exchange->OnClosed([this](bool /*completed*/) { this->running -= 1; });
  if (!this->aborted_text.empty() && text == this->aborted_text) {
    exchange->Abort();
    return;
  }
  if (!this->failing_text.empty() && text == this->failing_text) {
    exchange->Respond(500, "application/json", R"({"error":{"code":"poison"}})");
    return;
  }
  const bool streamed = body.value("stream", false);
  if (this->answer_time.count() == 0) {
    this->Answer(exchange, streamed, text);
    return;
  }
  const std::uint64_t id = this->next_id++;
  this->pending[id] = this->timers.After(this->answer_time, [this, id, exchange, streamed, text] {
    this->Answer(exchange, streamed, text);
    this->pending.erase(id);
  });
}

void StubEngine::Answer(const Exchange& exchange, bool streamed, const std::string& text) {
  if (!streamed) {
    const json answer = {
        {"choices", {{{"message", {{"role", "assistant"}, {"content", "re " + text}}}}}}};
    std::string body = answer.dump();
    if (!this->cut_text.empty() && text == this->cut_text && this->request_counts[text] == 1) {
      body.resize(body.size() / 2);
    }
    exchange->Respond(200, "application/json", body);
    return;
  }
  const json chunk = {
      {"id", "c"},
      {"choices", {{{"delta", {{"content", "re " + text}}}, {"finish_reason", "stop"}}}}};
  exchange->Respond(200, "text/event-stream", "data: " + chunk.dump() + "\n\ndata: [DONE]\n\n");
}

}  // namespace lentilhead::batch
