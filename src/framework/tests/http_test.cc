#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "framework/http_client.h"
#include "framework/http_error.h"
#include "framework/http_server.h"
#include "framework/json_rpc_client.h"
#include "framework/json_rpc_server.h"
#include "standin/engine/repeating_server.h"

namespace lentilhead::framework {

namespace {

constexpr int kMaxTurns = 100'000;
constexpr std::size_t kMaxBodySize = 512;
constexpr std::chrono::milliseconds kHeaderTimeout{100};

/// Server and client on one main context that the test iterates.
struct Loopback {
  HttpRouter router;
  Metrics metrics;
  std::unique_ptr<TimerService> timers = TimerService::OnMainContext(nullptr);
  HttpServer server{HttpServerSettings{.max_body_size = kMaxBodySize}, router, metrics};
  HttpClient client{*timers};
  std::string url;

  void Listen() {
    const Result<std::uint16_t> port = this->server.Listen();
    REQUIRE(port);
    this->url = "http://127.0.0.1:" + std::to_string(port.value());
  }

  HttpRequest Post(const std::string& path, std::string body) const {
    return {.method = "POST",
            .url = this->url + path,
            .content_type = "text/plain",
            .body = std::move(body)};
  }

  template <class Predicate>
  static void RunUntil(Predicate done) {
    for (int turn = 0; turn < kMaxTurns && !done(); ++turn) {
      g_main_context_iteration(nullptr, TRUE);
    }
  }

  std::optional<Reply<HttpResponse, HttpFailure>> Exchange(HttpRequest request) {
    std::optional<Reply<HttpResponse, HttpFailure>> reply;
    const HttpCall call =
        this->client.Send(std::move(request), [&](auto answer) { reply = answer; });
    RunUntil([&] { return reply.has_value(); });
    return reply;
  }
};

}  // namespace

TEST_CASE("a request is answered, and unknown paths and methods are refused") {
  Loopback loopback;
  loopback.router.Add("POST", "/echo", [](const auto& exchange) {
    exchange->Respond(200, "text/plain", exchange->Body());
  });
  loopback.Listen();
  const auto reply = loopback.Exchange(loopback.Post("/echo", "hello"));
  REQUIRE(reply->HasValue());
  CHECK(reply->Value().body == "hello");
  CHECK(loopback.Exchange(loopback.Post("/other", "x"))->Value().head.status == 404);
  CHECK(loopback.Exchange({.url = loopback.url + "/echo"})->Value().head.status == 405);
}

TEST_CASE("a connection stays open between requests") {
  Loopback loopback;
  loopback.router.Add("POST", "/echo", [](const auto& exchange) {
    exchange->Respond(200, "text/plain", exchange->Body());
  });
  loopback.Listen();
  for (int request = 0; request < 10; ++request) {
    REQUIRE(loopback.Exchange(loopback.Post("/echo", "hello"))->HasValue());
    // Lets the server close the connection if it means to.
    for (int turn = 0; turn < 100; ++turn) {
      g_main_context_iteration(nullptr, FALSE);
    }
    CHECK(loopback.server.ConnectionCount() == 1);
  }
}

TEST_CASE("an answer sent again late on a connection of its own answers no later request") {
  const standin::RepeatingServer server(
      [](const std::string& /*path*/, const std::string& body) { return body; });
  Loopback loopback;
  loopback.url = "http://" + server.Address();
  for (const bool new_connection : {true, false, true}) {
    HttpRequest request = loopback.Post("/echo", new_connection ? "own" : "other");
    request.new_connection = new_connection;
    const auto reply = loopback.Exchange(request);
    REQUIRE(reply->HasValue());
    CHECK(reply->Value().body == request.body);
  }
}

TEST_CASE("a body over the limit is refused and counted") {
  Loopback loopback;
  loopback.router.Add("POST", "/echo", [](const auto& exchange) {
    exchange->Respond(200, "text/plain", exchange->Body());
  });
  loopback.Listen();
  const auto reply = loopback.Exchange(loopback.Post("/echo", std::string(kMaxBodySize + 1, 'x')));
  REQUIRE(reply->HasValue());
  CHECK(reply->Value().head.status == 413);
  CHECK(
      loopback.metrics.GetCounter("http_refusals_total", {{"reason", "body_too_large"}}).Value() ==
      1);
}

TEST_CASE("a streamed response arrives in pieces and a cut is a failure") {
  Loopback loopback;
  std::shared_ptr<HttpExchange> open;
  loopback.router.Add("POST", "/stream", [&](const auto& exchange) {
    open = exchange;
    exchange->StartStream(200, "text/event-stream");
    exchange->WriteChunk("one");
  });
  loopback.Listen();
  std::string received;
  std::optional<std::optional<HttpFailure>> end;
  HttpStreamHandlers handlers;
  handlers.on_data = [&](std::string_view data) { received.append(data); };
  handlers.on_end = [&](std::optional<HttpFailure> failure) { end = std::move(failure); };
  const HttpCall call = loopback.client.Stream(loopback.Post("/stream", "x"), handlers);
  Loopback::RunUntil([&] { return received == "one"; });
  open->WriteChunk("two");
  Loopback::RunUntil([&] { return received == "onetwo"; });
  open->Abort();
  Loopback::RunUntil([&] { return end.has_value(); });
  REQUIRE(end->has_value());
  CHECK((*end)->kind == HttpFailureKind::kConnectionLost);
}

TEST_CASE("the server learns that the client hung up") {
  Loopback loopback;
  std::optional<bool> completed;
  std::shared_ptr<HttpExchange> open;
  loopback.router.Add("POST", "/stream", [&](const auto& exchange) {
    open = exchange;
    exchange->OnClosed([&](bool whole) { completed = whole; });
    exchange->StartStream(200, "text/event-stream");
    exchange->WriteChunk("one");
  });
  loopback.Listen();
  bool received = false;
  HttpStreamHandlers handlers;
  handlers.on_data = [&](std::string_view) { received = true; };
  HttpCall call = loopback.client.Stream(loopback.Post("/stream", "x"), handlers);
  Loopback::RunUntil([&] { return received; });
  call.Cancel();
  Loopback::RunUntil([&] {
    open->WriteChunk("more");
    return completed.has_value();
  });
  CHECK(completed == false);
}

TEST_CASE("a request that is repeated on a new connection carries its whole body again") {
  Loopback loopback;
  std::vector<std::string> bodies;
  loopback.router.Add("PUT", "/object", [&](const auto& exchange) {
    bodies.emplace_back(exchange->Body());
    if (bodies.size() == 2) {
      exchange->Abort();
      return;
    }
    exchange->Respond(200, "text/plain", "stored");
  });
  loopback.Listen();
  HttpRequest request = loopback.Post("/object", "content");
  request.method = "PUT";
  loopback.Exchange(request);
  loopback.Exchange(request);
  loopback.Exchange(request);
  REQUIRE(bodies.size() >= 3);
  for (const std::string& body : bodies) {
    CHECK(body == "content");
  }
}

TEST_CASE("a refused connection says that nothing was sent") {
  Loopback loopback;
  loopback.Listen();
  loopback.server.StopListening();
  const auto reply = loopback.Exchange(loopback.Post("/echo", "x"));
  REQUIRE_FALSE(reply->HasValue());
  CHECK(reply->Error().kind == HttpFailureKind::kConnectFailed);
  CHECK_FALSE(reply->Error().request_started);
}

TEST_CASE("a JSON-RPC call reaches its procedure") {
  Loopback loopback;
  JsonRpcServer rpc;
  rpc.Add("double", [](const Json::Value& message) {
    Json::Value result;
    result["n"] = message["n"].asInt() * 2;
    return result;
  });
  rpc.Register(loopback.router, "/rpc");
  loopback.Listen();
  JsonRpcClient client(loopback.client);
  Json::Value message;
  message["n"] = 21;
  std::optional<Reply<Json::Value, JsonRpcFailure>> reply;
  const HttpCall call = client.Call(loopback.url + "/rpc", "double", message,
                                    std::chrono::seconds(10), [&](auto result) { reply = result; });
  Loopback::RunUntil([&] { return reply.has_value(); });
  REQUIRE(reply->HasValue());
  CHECK(reply->Value()["n"].asInt() == 42);
  std::optional<Reply<Json::Value, JsonRpcFailure>> unknown;
  const HttpCall wrong =
      client.Call(loopback.url + "/rpc", "triple", message, std::chrono::seconds(10),
                  [&](auto result) { unknown = result; });
  Loopback::RunUntil([&] { return unknown.has_value(); });
  REQUIRE_FALSE(unknown->HasValue());
  CHECK(unknown->Error().kind == JsonRpcFailureKind::kRefused);
}

TEST_CASE("an answered exchange is released") {
  Loopback loopback;
  std::weak_ptr<HttpExchange> answered;
  loopback.router.Add("POST", "/echo", [&](const auto& exchange) {
    answered = exchange;
    exchange->Respond(200, "text/plain", "x");
  });
  loopback.Listen();
  REQUIRE(loopback.Exchange(loopback.Post("/echo", "x"))->HasValue());
  Loopback::RunUntil([&] { return answered.expired(); });
  CHECK(answered.expired());
}

TEST_CASE("oversized headers are refused and counted") {
  Loopback loopback;
  loopback.router.Add("POST", "/echo", [](const auto& exchange) {
    exchange->Respond(200, "text/plain", exchange->Body());
  });
  loopback.Listen();
  HttpRequest request = loopback.Post("/echo", "x");
  request.headers.emplace_back("X-Long", std::string(40'000, 'x'));
  CHECK(loopback.Exchange(request)->Value().head.status == 431);
  CHECK(loopback.metrics.GetCounter("http_refusals_total", {{"reason", "headers_too_large"}})
            .Value() == 1);
}

TEST_CASE("a connection that does not send its headers is closed and counted") {
  Loopback loopback;
  HttpServer impatient(HttpServerSettings{.header_timeout = kHeaderTimeout}, loopback.router,
                       loopback.metrics);
  const Result<std::uint16_t> port = impatient.Listen();
  REQUIRE(port);
  GSocketClient* client = g_socket_client_new();
  GSocketConnection* connection =
      g_socket_client_connect_to_host(client, "127.0.0.1", port.value(), nullptr, nullptr);
  REQUIRE(connection != nullptr);
  GSocket* socket = g_socket_connection_get_socket(connection);
  g_socket_send(socket, "GET / HT", 8, nullptr, nullptr);
  Counter& slow = loopback.metrics.GetCounter("http_refusals_total", {{"reason", "slow_headers"}});
  Loopback::RunUntil([&] { return slow.Value() == 1; });
  char byte = 0;
  CHECK(g_socket_receive(socket, &byte, 1, nullptr, nullptr) == 0);
  g_object_unref(connection);
  g_object_unref(client);
}

TEST_CASE("the deadline of the headers does not cut an answer or a kept connection") {
  Loopback loopback;
  HttpServer impatient(HttpServerSettings{.header_timeout = kHeaderTimeout}, loopback.router,
                       loopback.metrics);
  std::shared_ptr<HttpExchange> open;
  loopback.router.Add("POST", "/stream", [&](const auto& exchange) {
    open = exchange;
    exchange->StartStream(200, "text/event-stream");
    exchange->WriteChunk("one");
  });
  const Result<std::uint16_t> port = impatient.Listen();
  REQUIRE(port);
  loopback.url = "http://127.0.0.1:" + std::to_string(port.value());
  bool waited = false;
  for (int request = 0; request < 2; ++request) {
    std::optional<Reply<HttpResponse, HttpFailure>> reply;
    const HttpCall call =
        loopback.client.Send(loopback.Post("/stream", "x"), [&](auto answer) { reply = answer; });
    const TimerSubscription timer = loopback.timers->After(4 * kHeaderTimeout, [&] {
      waited = true;
      open->FinishStream();
    });
    Loopback::RunUntil([&] { return reply.has_value(); });
    REQUIRE(reply->HasValue());
    CHECK(reply->Value().body == "one");
  }
  CHECK(waited);
  CHECK(impatient.ConnectionCount() == 1);
  CHECK(loopback.metrics.GetCounter("http_refusals_total", {{"reason", "slow_headers"}}).Value() ==
        0);
}

}  // namespace lentilhead::framework
