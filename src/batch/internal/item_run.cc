#include "batch/internal/item_run.h"

#include <utility>

#include "batch/internal/continuation.h"
#include "endpoint/endpoint_request.h"
#include "framework/broken_json.h"

namespace lentilhead::batch::internal {

namespace {

using endpoint::AttemptEnd;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kFirstClientError = 400;
constexpr int kRequestTimeout = 408;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kServiceUnavailable = 503;
constexpr const char* kChatPath = "/v1/chat/completions";

bool CanStream(const JobLine& line, const endpoint::ServiceSettings& service) {
  if (service.kind != endpoint::ServiceKind::kModel || !service.resumable ||
      line.url != kChatPath || !line.body.is_object()) {
    return false;
  }
  const json& body = line.body;
  const auto messages = body.find("messages");
  const auto choices = body.find("n");
  const bool one_choice = choices == body.end() || *choices == 1;
  return one_choice && messages != body.end() && messages->is_array() && !body.contains("tools") &&
         !body.contains("logprobs");
}

std::string ErrorCodeOf(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("error") || !parsed["error"].is_object()) {
    return "";
  }
  const json& error = parsed["error"];
  return error.contains("code") && error["code"].is_string() ? error["code"].get<std::string>()
                                                             : "";
}

}  // namespace

ItemRun::ItemRun(GrantedItem item, JobLine line, const endpoint::EndpointInfo& target,
                 const endpoint::ServiceSettings& service)
    : item(std::move(item)),
      line(std::move(line)),
      address(target.address),
      streamed(CanStream(this->line, service)),
      continued(this->streamed ? ContinuationOf(this->line.body, this->item.grant.partial)
                               : PartialAnswer{}),
      stream(this->continued) {}

void ItemRun::Start(framework::HttpClient& http, framework::TimerService& timers,
                    std::chrono::milliseconds timeout, EndHandler handler) {
  this->on_end = std::move(handler);
  this->timer = timers.After(timeout, [this] {
    this->call.Cancel();
    this->End(this->ResultOf(AttemptOutcome::kTimedOut, ""), AttemptEnd::kFailed);
  });
  framework::HttpStreamHandlers handlers;
  handlers.on_head = [this](const framework::HttpResponseHead& head) {
    this->status = head.status;
    this->content_type = head.Header("content-type").value_or("");
  };
  handlers.on_data = [this](std::string_view data) {
    if (this->streamed && this->status == kOk) {
      this->stream.Feed(data);
    } else {
      this->body.append(data);
    }
  };
  handlers.on_end = [this](const std::optional<framework::HttpFailure>& failure) {
    this->OnEnd(failure);
  };
  this->call = http.Stream(this->BuildRequest(timeout), std::move(handlers));
}

framework::HttpRequest ItemRun::BuildRequest(std::chrono::milliseconds timeout) const {
  framework::HttpRequest request = endpoint::RequestTo(this->address, this->line.url);
  request.method = this->line.method;
  request.timeout = timeout;
  request.idle_timeout = timeout;
  request.headers = {
      {"X-Request-Class", "batch"},
      {"Idempotency-Key", this->item.job + "-" + std::to_string(this->item.grant.item)}};
  if (this->line.method == "GET") {
    return request;
  }
  json content = this->line.body;
  content.erase("stream");
  if (this->streamed) {
    content["stream"] = true;
    content["stream_options"] = {{"include_usage", true}};
  }
  if (!this->continued.text.empty()) {
    ApplyContinuation(content, this->continued);
  }
  request.content_type = "application/json";
  request.body = content.dump(-1, ' ', false, json::error_handler_t::replace);
  return request;
}

ItemResult ItemRun::Preempt() {
  this->timer.Cancel();
  this->call.Cancel();
  this->on_end = nullptr;
  ItemResult result = this->ResultOf(AttemptOutcome::kPreempted, "");
  result.partial = this->stream.Partial();
  return result;
}

ItemResult ItemRun::ResultOf(AttemptOutcome outcome, std::string rendered) const {
  return {this->item.grant.item, this->item.grant.attempt, outcome, std::move(rendered), {}};
}

void ItemRun::OnEnd(const std::optional<framework::HttpFailure>& failure) {
  if (!failure) {
    this->OnAnswer();
    return;
  }
  if (!failure->request_started) {
    this->End(this->ResultOf(AttemptOutcome::kNotRun, ""), AttemptEnd::kFailed);
    return;
  }
  const bool timed_out = failure->kind == framework::HttpFailureKind::kTimeout;
  this->End(this->ResultOf(timed_out ? AttemptOutcome::kTimedOut : AttemptOutcome::kLost, ""),
            AttemptEnd::kFailed);
}

void ItemRun::OnAnswer() {
  const std::string code = this->status == kServiceUnavailable ? ErrorCodeOf(this->body) : "";
  if (this->status == kTooManyRequests || code == "busy") {
    this->End(this->ResultOf(AttemptOutcome::kNotRun, ""), AttemptEnd::kRefusedBusy);
    return;
  }
  if (code == "draining") {
    this->End(this->ResultOf(AttemptOutcome::kNotRun, ""), AttemptEnd::kRefusedDraining);
    return;
  }
  const bool streaming = this->streamed && this->status == kOk;
  const bool stream_cut = streaming && !this->stream.IsComplete() && !this->stream.HasError();
  const bool body_cut =
      !streaming && this->status == kOk && framework::IsBrokenJson(this->content_type, this->body);
  if (stream_cut || body_cut) {
    this->End(this->ResultOf(AttemptOutcome::kLost, ""), AttemptEnd::kFailed);
    return;
  }
  const std::string rendered = RenderAnswer(this->line.custom_id, this->status,
                                            streaming ? this->stream.Render() : this->body);
  const bool stream_failed = streaming && this->stream.HasError();
  if (stream_failed || this->status >= kFirstServerError || this->status == kRequestTimeout) {
    this->End(this->ResultOf(AttemptOutcome::kFailed, stream_failed ? "" : rendered),
              AttemptEnd::kFailed);
    return;
  }
  const bool rejected = this->status >= kFirstClientError;
  this->End(
      this->ResultOf(rejected ? AttemptOutcome::kRejected : AttemptOutcome::kSucceeded, rendered),
      AttemptEnd::kSucceeded);
}

void ItemRun::End(ItemResult result, AttemptEnd end) {
  this->timer.Cancel();
  // The handler may destroy this object.
  const EndHandler handler = std::exchange(this->on_end, nullptr);
  if (handler) {
    handler(std::move(result), end);
  }
}

}  // namespace lentilhead::batch::internal
