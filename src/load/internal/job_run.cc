#include "load/internal/job_run.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace lentilhead::load::internal {

namespace {

using framework::HttpFailure;
using framework::HttpResponse;
using framework::Reply;

constexpr std::chrono::milliseconds kPollPeriod{200};
constexpr std::chrono::milliseconds kRequestTimeout{60'000};
constexpr int kFirstServerError = 500;
constexpr int kTooManyRequests = 429;

bool IsRetryable(int status) { return status >= kFirstServerError || status == kTooManyRequests; }

}  // namespace

JobRun::JobRun(const JobPlan& plan, const std::string& run, std::uint64_t seed,
               std::vector<std::string> urls, std::string key, framework::HttpClient& http,
               framework::TimerService& timers)
    : plan(plan),
      checker(plan, run, seed),
      urls(std::move(urls)),
      key(std::move(key)),
      idempotency_key(run + "-" + plan.name),
      http(http),
      timers(timers) {
  this->result.name = plan.name;
  this->result.items = plan.items;
}

void JobRun::Start() {
  this->started = this->timers.Now();
  this->Submit();
}

void JobRun::Submit() {
  framework::HttpRequest request =
      this->RequestTo("POST", "/v1/jobs?service=" + this->plan.service +
                                  "&deadline_ms=" + std::to_string(this->plan.deadline.count()));
  request.headers.emplace_back("Idempotency-Key", this->idempotency_key);
  request.content_type = "application/jsonl";
  request.body = this->checker.SubmissionBody();
  this->call = this->http.Send(std::move(request), [this](Reply<HttpResponse, HttpFailure> reply) {
    if (!reply || IsRetryable(reply.Value().head.status)) {
      this->RetryLater(&JobRun::Submit);
      return;
    }
    this->HandleSubmitted(reply.Value());
  });
}

void JobRun::HandleSubmitted(const HttpResponse& response) {
  const nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
  if (response.head.status / 100 != 2 || !answer.is_object() || !answer.contains("id")) {
    this->result.error = response.body;
    this->ended = true;
    return;
  }
  this->result.accepted = true;
  this->result.id = answer["id"].get<std::string>();
  this->Poll();
}

void JobRun::Poll() {
  this->call = this->http.Send(this->RequestTo("GET", "/v1/jobs/" + this->result.id),
                               [this](Reply<HttpResponse, HttpFailure> reply) {
                                 if (!reply || reply.Value().head.status != 200) {
                                   this->RetryLater(&JobRun::Poll);
                                   return;
                                 }
                                 this->HandleStatus(reply.Value());
                               });
}

void JobRun::HandleStatus(const HttpResponse& response) {
  const nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
  const std::string state = answer.is_object() ? answer.value("state", "") : "";
  if (state != "finished" && state != "cancelled") {
    this->RetryLater(&JobRun::Poll);
    return;
  }
  this->result.finished = state == "finished";
  this->result.duration =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->timers.Now() - this->started);
  this->FetchResults();
}

void JobRun::FetchResults() {
  this->call = this->http.Send(this->RequestTo("GET", "/v1/jobs/" + this->result.id + "/results"),
                               [this](Reply<HttpResponse, HttpFailure> reply) {
                                 if (!reply || reply.Value().head.status != 200) {
                                   this->RetryLater(&JobRun::FetchResults);
                                   return;
                                 }
                                 this->checker.Check(reply.Value().body, this->result);
                                 this->ended = true;
                               });
}

void JobRun::RetryLater(void (JobRun::*request)()) {
  this->retry_timer = this->timers.After(kPollPeriod, [this, request] { (this->*request)(); });
}

framework::HttpRequest JobRun::RequestTo(const std::string& method, const std::string& path) {
  framework::HttpRequest request;
  request.method = method;
  request.url = this->urls[this->next_url % this->urls.size()] + path;
  this->next_url += 1;
  request.headers.emplace_back("Authorization", "Bearer " + this->key);
  request.timeout = kRequestTimeout;
  request.idle_timeout = kRequestTimeout;
  return request;
}

}  // namespace lentilhead::load::internal
