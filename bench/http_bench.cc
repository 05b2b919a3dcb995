#include <benchmark/benchmark.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include "framework/http_client.h"
#include "framework/http_server.h"
#include "framework/task.h"

namespace lentilhead::framework {

namespace {

constexpr int kRequests = 2000;
constexpr std::chrono::milliseconds kTokenInterval{20};
constexpr int kStreamTicks = 64;  ///< The last tick ends the stream without an event.
constexpr int kEventsPerStream = kStreamTicks - 1;

/// Server task with a route for short requests and one for event streams.
class BenchServer {
 public:
  BenchServer() {
    this->router.Add("POST", "/short", [](const auto& exchange) {
      exchange->Respond(200, "application/json", "{\"ok\":true}");
    });
    this->router.Add("POST", "/stream", [this](const auto& exchange) { this->Stream(exchange); });
    this->task.Start(
        [this] {
          this->server =
              std::make_unique<HttpServer>(HttpServerSettings{}, this->router, this->metrics);
          const Result<std::uint16_t> listening = this->server->Listen();
          this->port = listening ? listening.value() : -1;
        },
        [this] {
          this->streams.clear();
          this->server.reset();
        });
    while (this->port == 0) {
      std::this_thread::yield();
    }
  }

  [[nodiscard]] std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(this->port.load());
  }

 private:
  void Stream(const std::shared_ptr<HttpExchange>& exchange) {
    exchange->StartStream(200, "text/event-stream");
    auto timer = std::make_shared<TimerSubscription>();
    auto ticks_left = std::make_shared<int>(kStreamTicks);
    *timer = this->task.Timers().Every(kTokenInterval, [exchange, timer, ticks_left] {
      if (--*ticks_left == 0) {
        exchange->FinishStream();
        timer->Cancel();
        return;
      }
      exchange->WriteChunk("data: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n");
    });
    this->streams.push_back(timer);
  }

  HttpRouter router;
  Metrics metrics;
  std::unique_ptr<HttpServer> server;
  std::vector<std::shared_ptr<TimerSubscription>> streams;
  std::atomic<int> port{0};
  Task task{"bench-server"};
};

/// Sends `total` requests, of which up to `open` are in flight at a time.
void RunRequests(HttpClient& client, const std::string& url, int total, int open) {
  std::vector<HttpCall> calls(static_cast<std::size_t>(total));
  int sent = 0;
  int answered = 0;
  std::function<void()> send_next = [&] {
    if (sent == total) {
      return;
    }
    const int index = sent++;
    HttpRequest request{
        .method = "POST", .url = url, .content_type = "application/json", .body = "{}"};
    HttpStreamHandlers handlers;
    handlers.on_data = [](std::string_view data) { benchmark::DoNotOptimize(data.data()); };
    handlers.on_end = [&](const std::optional<HttpFailure>& /*failure*/) {
      ++answered;
      send_next();
    };
    calls[static_cast<std::size_t>(index)] = client.Stream(std::move(request), std::move(handlers));
  };
  for (int index = 0; index < open; ++index) {
    send_next();
  }
  while (answered < total) {
    g_main_context_iteration(nullptr, TRUE);
  }
}

void ShortRequests(benchmark::State& state) {
  BenchServer server;
  const auto timers = TimerService::OnMainContext(nullptr);
  HttpClient client(*timers);
  for (auto _ : state) {
    RunRequests(client, server.Url() + "/short", kRequests, static_cast<int>(state.range(0)));
  }
  state.SetItemsProcessed(state.iterations() * kRequests);
}
BENCHMARK(ShortRequests)->Arg(1)->Arg(64)->UseRealTime()->Unit(benchmark::kMillisecond);

void StreamedEvents(benchmark::State& state) {
  BenchServer server;
  const auto timers = TimerService::OnMainContext(nullptr);
  HttpClient client(*timers);
  for (auto _ : state) {
    const int streams = static_cast<int>(state.range(0));
    RunRequests(client, server.Url() + "/stream", streams, streams);
  }
  state.SetItemsProcessed(state.iterations() * state.range(0) * kEventsPerStream);
}
BENCHMARK(StreamedEvents)->Arg(100)->Arg(800)->UseRealTime()->Unit(benchmark::kMillisecond);

}  // namespace

}  // namespace lentilhead::framework

BENCHMARK_MAIN();
