#include "standin/engine/engine_server.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>

#include "framework/http_client.h"

namespace lentilhead::standin {

namespace {

using framework::HttpFailure;
using framework::HttpResponse;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kMaxIterations = 1'000'000;

/// Engine and HTTP client on one main context, which the test iterates.
struct Loopback {
  explicit Loopback(EngineOptions options) : server(std::move(options), *this->timers) {
    REQUIRE(this->server.Listen());
  }

  template <class Predicate>
  static void RunUntil(Predicate done) {
    for (int iteration = 0; iteration < kMaxIterations && !done(); ++iteration) {
      g_main_context_iteration(nullptr, TRUE);
    }
    REQUIRE(done());
  }

  framework::HttpRequest Request(const std::string& path, const json& body) const {
    return {.method = "POST",
            .url = "http://127.0.0.1:" + std::to_string(this->server.Port()) + path,
            .content_type = "application/json",
            .body = body.dump()};
  }

  HttpResponse Send(framework::HttpRequest request) {
    std::optional<framework::Reply<HttpResponse, HttpFailure>> reply;
    const auto call =
        this->client.Send(std::move(request), [&](auto answer) { reply = std::move(answer); });
    RunUntil([&] { return reply.has_value(); });
    INFO((reply->HasValue() ? std::string() : reply->Error().detail));
    REQUIRE(reply->HasValue());
    return reply->Value();
  }

  HttpResponse Post(const std::string& path, const json& body) {
    return this->Send(this->Request(path, body));
  }

  HttpResponse Get(const std::string& path) {
    framework::HttpRequest request = this->Request(path, {});
    request.method = "GET";
    request.body.clear();
    return this->Send(std::move(request));
  }

  std::string AnswerTo(const json& body) {
    const HttpResponse response = this->Post("/v1/chat/completions", body);
    REQUIRE(response.head.status == 200);
    return json::parse(response.body)["choices"][0]["message"]["content"];
  }

  std::unique_ptr<framework::TimerService> timers = framework::TimerService::OnMainContext(nullptr);
  EngineServer server;
  framework::HttpClient client{*timers};
};

EngineOptions FastOptions() {
  return {.slots = 4, .token_interval = milliseconds(1), .prefill = milliseconds(1)};
}

json Chat(const std::string& content) {
  return {{"model", "model"}, {"messages", {{{"role", "user"}, {"content", content}}}}};
}

std::string CodeOf(const HttpResponse& response) {
  return json::parse(response.body)["error"]["code"];
}

}  // namespace

TEST_CASE("a continued answer resumes exactly where the given text ends") {
  Loopback loopback(FastOptions());
  json body = Chat("write a profile");
  body["max_tokens"] = 9;
  const std::string complete_answer = loopback.AnswerTo(body);
  body["max_tokens"] = 4;
  const std::string start = loopback.AnswerTo(body);
  body["max_tokens"] = 5;
  body["continue_final_message"] = true;
  body["add_generation_prompt"] = false;
  body["messages"].push_back({{"role", "assistant"}, {"content", start}});
  CHECK(start + loopback.AnswerTo(body) == complete_answer);
  body["messages"].back()["content"] = "text of another answer";
  CHECK(CodeOf(loopback.Post("/v1/chat/completions", body)) == "invalid_continuation");
}

TEST_CASE("the events of a stream add up to the text of the complete answer") {
  Loopback loopback(FastOptions());
  json body = Chat("is stage two free");
  const std::string complete_answer = loopback.AnswerTo(body);
  body["stream"] = true;
  const std::string events = loopback.Post("/v1/chat/completions", body).body;
  CHECK(events.ends_with("data: [DONE]\n\n"));
  std::string text;
  std::size_t start = 0;
  while ((start = events.find("data: {", start)) != std::string::npos) {
    const std::size_t end = events.find("\n\n", start);
    const json event = json::parse(events.substr(start + 6, end - start - 6));
    text += event["choices"][0]["delta"].value("content", "");
    start = end;
  }
  CHECK(text == complete_answer);
}

TEST_CASE("invalid requests are refused before they run") {
  Loopback loopback(FastOptions());
  json body = Chat("hello");
  body["model"] = "another";
  CHECK(loopback.Post("/v1/chat/completions", body).head.status == 404);
  CHECK(CodeOf(loopback.Post("/v1/chat/completions", {{"model", "model"}})) == "invalid_messages");
  framework::HttpRequest broken = loopback.Request("/v1/chat/completions", {});
  broken.body = "{";
  CHECK(CodeOf(loopback.Send(std::move(broken))) == "invalid_json");
  CHECK(loopback.server.Stats().requests == 0);
}

TEST_CASE(
    "a draining engine refuses new requests and stale fencing tokens are refused if enforced") {
  for (const bool enforced : {true, false}) {
    EngineOptions options = FastOptions();
    options.fencing_enforced = enforced;
    Loopback loopback(options);
    CHECK(loopback.Post("/admin/drain", {{"fencing_token", 5}}).head.status == 200);
    const HttpResponse refused = loopback.Post("/v1/chat/completions", Chat("hello"));
    CHECK(refused.head.status == 503);
    CHECK(CodeOf(refused) == "draining");
    const HttpResponse stale = loopback.Post("/admin/undrain", {{"fencing_token", 4}});
    CHECK(stale.head.status == (enforced ? 409 : 200));
    const json state = json::parse(loopback.Get("/admin/state").body);
    CHECK(state["draining"] == enforced);
    CHECK(state["fencing_token"] == 5);
  }
}

TEST_CASE("a load order replaces the model") {
  Loopback loopback(FastOptions());
  const json order = {{"model", "large"}, {"version", "2"}, {"adapters", {"cats"}}};
  CHECK(loopback.Post("/admin/load", order).head.status == 200);
  CHECK(loopback.Post("/v1/chat/completions", Chat("hello")).head.status == 404);
  json body = Chat("hello");
  body["model"] = "large:cats";
  CHECK(loopback.Post("/v1/chat/completions", body).head.status == 200);
}

TEST_CASE("faults fail, refuse, cut and hang requests") {
  Loopback loopback(FastOptions());
  loopback.server.SetFaults({.fail_next = 1, .refuse_next = 1});
  CHECK(loopback.Post("/v1/chat/completions", Chat("hello")).head.status == 429);
  CHECK(loopback.Post("/v1/chat/completions", Chat("hello")).head.status == 500);
  CHECK(loopback.Post("/v1/chat/completions", Chat("hello")).head.status == 200);
  CHECK(loopback.Post("/v1/chat/completions", Chat("poison-fail")).head.status == 500);
  loopback.server.SetFaults({.cut_after_tokens = 3, .cut_next = 1});
  json body = Chat("hello");
  body["stream"] = true;
  std::optional<std::optional<HttpFailure>> end;
  framework::HttpStreamHandlers handlers;
  handlers.on_end = [&](auto failure) { end = std::move(failure); };
  const auto call =
      loopback.client.Stream(loopback.Request("/v1/chat/completions", body), std::move(handlers));
  Loopback::RunUntil([&] { return end.has_value(); });
  REQUIRE(end->has_value());
  CHECK((*end)->kind == framework::HttpFailureKind::kConnectionLost);
  CHECK(loopback.server.Stats().cancelled == 1);
}

TEST_CASE("a poison-crash prompt ends the process when it is admitted") {
  bool crashed = false;
  EngineOptions options = FastOptions();
  options.crash = [&] { crashed = true; };
  Loopback loopback(options);
  const auto call = loopback.client.Send(
      loopback.Request("/v1/chat/completions", Chat("poison-crash")), [](const auto& /*reply*/) {});
  Loopback::RunUntil([&] { return crashed; });
}

TEST_CASE("a stream that the caller cancels releases its slot") {
  EngineOptions options = FastOptions();
  options.slots = 1;
  Loopback loopback(options);
  json body = Chat("hello");
  body["stream"] = true;
  body["max_tokens"] = 1'000'000;
  bool received = false;
  framework::HttpStreamHandlers handlers;
  handlers.on_data = [&](std::string_view) { received = true; };
  auto call =
      loopback.client.Stream(loopback.Request("/v1/chat/completions", body), std::move(handlers));
  Loopback::RunUntil([&] { return received; });
  call.Cancel();
  CHECK_FALSE(loopback.AnswerTo(Chat("next")).empty());
  CHECK(loopback.server.Stats().cancelled == 1);
}

TEST_CASE("a plain service answers every path and counts runs by idempotency key") {
  EngineOptions options = FastOptions();
  options.kind = EngineKind::kPlain;
  Loopback loopback(options);
  framework::HttpRequest request = loopback.Request("/puppies/7/promise", {{"family", "a"}});
  request.headers.emplace_back("Idempotency-Key", "k1");
  request.headers.emplace_back("X-Request-Class", "online");
  const json answer = json::parse(loopback.Send(request).body);
  CHECK(answer["path"] == "/puppies/7/promise");
  CHECK(json::parse(answer["body"].get<std::string>())["family"] == "a");
  loopback.server.SetFaults({.fail_next = 1});
  CHECK(loopback.Send(request).head.status == 500);
  const json stats = json::parse(loopback.Get("/standin/stats").body);
  CHECK(stats["runs"]["k1"] == 2);
  CHECK(stats["most_running"]["online"] == 1);
}

TEST_CASE("cache events have gaps and a cached prefix can be exported to another engine") {
  EngineOptions options = FastOptions();
  options.report_lag = milliseconds(0);
  Loopback source(options);
  for (int prompt = 0; prompt < 8; ++prompt) {
    source.AnswerTo(Chat("prompt " + std::to_string(prompt)));
  }
  const json events = json::parse(source.Get("/events?after=2").body)["events"];
  std::vector<int> sequences;
  for (const json& event : events) {
    sequences.push_back(event["sequence"]);
  }
  CHECK(sequences == std::vector<int>{3, 4, 5, 6, 8});
  const std::string key = events.back()["prefix"];
  const HttpResponse exported = source.Get("/kv/export?prefix=" + key);
  REQUIRE(exported.head.status == 200);
  CHECK(source.Get("/kv/export?prefix=1").head.status == 404);
  Loopback target(options);
  CHECK(target.Post("/kv/import", json::parse(exported.body)).head.status == 200);
  target.AnswerTo(Chat("prompt 7"));
  CHECK(target.server.Stats().cache_hits == 1);
  options.version = "2";
  Loopback other(options);
  CHECK(other.Post("/kv/import", json::parse(exported.body)).head.status == 409);
}

TEST_CASE("load reports lag behind the current load") {
  EngineOptions options = FastOptions();
  options.report_lag = std::chrono::hours(1);
  Loopback loopback(options);
  loopback.server.SetFaults({.hang_next = 1});
  const auto call = loopback.client.Send(loopback.Request("/v1/chat/completions", Chat("hello")),
                                         [](const auto& /*reply*/) {});
  Loopback::RunUntil([&] { return !loopback.server.Stats().running.empty(); });
  CHECK(json::parse(loopback.Get("/load").body)["running"] == 0);
}

}  // namespace lentilhead::standin
