#include "load/internal/online_call.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace lentilhead::load::internal {

namespace {

constexpr int kStatusOk = 200;
constexpr std::string_view kDoneData = "[DONE]";

}  // namespace

OnlineCall::OnlineCall(CallPlan plan, framework::HttpClient& http, framework::TimerService& timers)
    : plan(std::move(plan)), http(http), timers(timers) {}

void OnlineCall::Start(EndHandler handler) {
  this->on_end = std::move(handler);
  this->started = this->timers.Now();
  this->last_token = this->started;
  framework::HttpStreamHandlers handlers;
  handlers.on_head = [this](const framework::HttpResponseHead& head) {
    this->result.status = head.status;
  };
  handlers.on_data = [this](std::string_view data) { this->HandleData(data); };
  handlers.on_end = [this](const std::optional<framework::HttpFailure>& failure) {
    this->HandleEnd(failure);
  };
  this->call = this->http.Stream(std::move(this->plan.request), std::move(handlers));
}

void OnlineCall::HandleData(std::string_view data) {
  if (this->result.status == kStatusOk && this->plan.stream) {
    this->events.Feed(data, [this](std::string_view event) { this->HandleEvent(event); });
    return;
  }
  this->body.append(data);
}

void OnlineCall::HandleEvent(std::string_view data) {
  if (data == kDoneData) {
    this->received_done = true;
    return;
  }
  const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
  if (!event.is_object()) {
    return;
  }
  if (event.contains("error")) {
    this->error_event = true;
    this->ReadErrorCode(data);
    return;
  }
  const nlohmann::json content =
      event.value(nlohmann::json::json_pointer("/choices/0/delta/content"), nlohmann::json());
  if (content.is_string() && !content.get_ref<const std::string&>().empty()) {
    this->text.append(content.get_ref<const std::string&>());
    this->RecordToken();
  }
}

void OnlineCall::RecordToken() {
  const framework::MonotonicTime now = this->timers.Now();
  if (this->result.tokens == 0) {
    this->result.first_token = now - this->started;
  } else {
    const std::chrono::nanoseconds gap = now - this->last_token;
    this->result.longest_gap = std::max(this->result.longest_gap, gap);
  }
  this->last_token = now;
  this->result.tokens += 1;
}

void OnlineCall::HandleEnd(const std::optional<framework::HttpFailure>& failure) {
  this->result.total = this->timers.Now() - this->started;
  if (this->result.status == 0) {
    this->result.end = CallEnd::kUnreachable;
    this->result.code = failure ? framework::NameOf(failure->kind) : "no_answer";
  } else if (this->result.status != kStatusOk) {
    this->result.end = CallEnd::kRefused;
    this->ReadErrorCode(this->body);
  } else if (this->error_event) {
    this->result.end = CallEnd::kErrorEvent;
  } else if (failure) {
    this->result.end = CallEnd::kCut;
    this->result.code = framework::NameOf(failure->kind);
  } else if (this->plan.stream) {
    this->CheckStream();
  } else {
    this->CheckBody();
  }
  this->on_end(this->result);
}

void OnlineCall::CheckStream() {
  if (!this->received_done) {
    this->result.end = CallEnd::kCut;
    this->result.code = "no_end_mark";
    return;
  }
  const bool matches = this->text == this->plan.expected_text;
  this->result.end = matches ? CallEnd::kCompleted : CallEnd::kWrong;
  this->result.code = matches ? "" : "other_text";
}

void OnlineCall::CheckBody() {
  const nlohmann::json answer = nlohmann::json::parse(this->body, nullptr, false);
  bool matches = answer.is_object();
  if (!this->plan.expected_text.empty()) {
    const nlohmann::json content =
        answer.is_object()
            ? answer.value(nlohmann::json::json_pointer("/choices/0/message/content"),
                           nlohmann::json())
            : nlohmann::json();
    matches = content == this->plan.expected_text;
    this->result.tokens = 1;
  }
  this->result.first_token = this->result.total;
  this->result.end = matches ? CallEnd::kCompleted : CallEnd::kWrong;
  this->result.code = matches ? "" : "other_body";
}

void OnlineCall::ReadErrorCode(std::string_view error_body) {
  const nlohmann::json error = nlohmann::json::parse(error_body, nullptr, false);
  const nlohmann::json code =
      error.is_object() ? error.value(nlohmann::json::json_pointer("/error/code"), nlohmann::json())
                        : nlohmann::json();
  this->result.code = code.is_string() ? code.get<std::string>() : "untyped_error";
}

}  // namespace lentilhead::load::internal
