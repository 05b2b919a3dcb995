#include "gateway/caller_session.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>

namespace lentilhead::gateway {
namespace {

namespace asio = net::asio;
using std::chrono::milliseconds;

constexpr milliseconds kLongIdleTime{1000};
constexpr char kRequest[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// A session and its caller's socket on an event loop that the test runs step by step.
class SessionFixture {
 public:
  SessionFixture() : acceptor(this->loop, {asio::ip::address_v4::loopback(), 0}) {
    this->caller.connect(this->acceptor.local_endpoint());
    this->session = std::make_shared<CallerSession>(this->acceptor.accept(), this->stop);
  }

  /// Answers requests until the connection ends, and counts the requests read and answers sent.
  asio::awaitable<void> Serve() {
    while (this->session->IsOpen()) {
      const auto read = co_await this->session->ReadRequest([this] { return this->limits; });
      if (!std::holds_alternative<net::Request>(read)) {
        this->session->Abort();
        co_return;
      }
      ++this->requests_read;
      CancelScope cancel;
      this->session->StartWatch(cancel);
      net::Response response(net::http::status::ok, 11);
      response.body() = "done";
      const bool sent =
          co_await this->session->Send(std::move(response), net::Now() + milliseconds(1000));
      this->answers_sent += sent ? 1 : 0;
      this->session->StopWatch();
    }
  }

  /// Reads a request and answers it with two chunks. @return what the caller has received before
  /// the end of the answer, and in all.
  std::pair<std::string, std::string> AnswerInChunks(const std::string& request,
                                                     net::http::status status) {
    std::string before_end;
    asio::write(this->caller, asio::buffer(request));
    asio::co_spawn(
        this->loop,
        [&]() -> asio::awaitable<void> {
          const net::SteadyTime until = net::Now() + milliseconds(1000);
          co_await this->session->ReadRequest([this] { return this->limits; });
          net::http::response_header<> head;
          head.result(status);
          co_await this->session->BeginChunks(std::move(head), until);
          co_await this->session->SendChunk("one,", until);
          co_await this->session->SendChunk("two", until);
          before_end = this->Received();
          co_await this->session->EndChunks(until);
        },
        asio::detached);
    this->loop.run_for(milliseconds(20));
    return {before_end, before_end + this->Received()};
  }

  std::string Received() {
    std::string received(this->caller.available(), '\0');
    asio::read(this->caller, asio::buffer(received));
    return received;
  }

  /// Runs up to a number of ready handlers.
  void Step(int handlers) {
    for (int count = 0; count < handlers; ++count) {
      this->loop.poll_one();
    }
  }

  asio::io_context loop{1};
  bool stop = false;
  CallerLimits limits;
  asio::ip::tcp::acceptor acceptor;
  asio::ip::tcp::socket caller{this->loop};
  std::shared_ptr<CallerSession> session;
  int requests_read = 0;
  int answers_sent = 0;
};

TEST_CASE("a request that was read is answered at whatever time idle connections are closed") {
  for (int handlers = 0; handlers < 12; ++handlers) {
    CAPTURE(handlers);
    SessionFixture fixture;
    asio::co_spawn(fixture.loop, fixture.Serve(), asio::detached);
    asio::write(fixture.caller, asio::buffer(std::string(kRequest)));
    fixture.loop.run_for(milliseconds(20));
    REQUIRE(fixture.answers_sent == 1);
    asio::write(fixture.caller, asio::buffer(std::string(kRequest)));
    fixture.Step(handlers);
    fixture.session->CloseIfIdle(net::Now() + kLongIdleTime);
    fixture.loop.restart();
    fixture.loop.run_for(milliseconds(20));
    CHECK(fixture.answers_sent == fixture.requests_read);
  }
}

TEST_CASE("an idle connection is closed") {
  SessionFixture fixture;
  asio::co_spawn(fixture.loop, fixture.Serve(), asio::detached);
  fixture.loop.run_for(milliseconds(10));
  fixture.session->CloseIfIdle(net::Now() + kLongIdleTime);
  fixture.loop.restart();
  fixture.loop.run_for(milliseconds(10));
  CHECK_FALSE(fixture.session->IsOpen());
}

TEST_CASE("an idle connection stays open while the limits in force allow it") {
  SessionFixture fixture;
  fixture.limits.idle_timeout = milliseconds(20);
  asio::co_spawn(fixture.loop, fixture.Serve(), asio::detached);
  fixture.loop.run_for(milliseconds(5));
  fixture.limits.idle_timeout = milliseconds(80);
  fixture.loop.run_for(milliseconds(40));
  CHECK(fixture.session->IsOpen());
  fixture.loop.run_for(milliseconds(80));
  CHECK_FALSE(fixture.session->IsOpen());
}

TEST_CASE("a request is read by the limits that are in force when it begins") {
  SessionFixture fixture;
  fixture.limits.header_bytes = 8;
  asio::co_spawn(fixture.loop, fixture.Serve(), asio::detached);
  fixture.loop.run_for(milliseconds(5));
  fixture.limits.header_bytes = 1000;
  asio::write(fixture.caller, asio::buffer(std::string(kRequest)));
  fixture.loop.run_for(milliseconds(20));
  CHECK(fixture.answers_sent == 1);
}

TEST_CASE("a request that arrived before the idle time was over is read after a stall") {
  for (int handlers = 0; handlers < 4; ++handlers) {
    CAPTURE(handlers);
    SessionFixture fixture;
    fixture.limits.idle_timeout = milliseconds(10);
    asio::co_spawn(fixture.loop, fixture.Serve(), asio::detached);
    fixture.Step(handlers);
    asio::write(fixture.caller, asio::buffer(std::string(kRequest)));
    std::this_thread::sleep_for(milliseconds(20));
    fixture.loop.run_for(milliseconds(5));
    CHECK(fixture.answers_sent == 1);
  }
}

TEST_CASE("a chunk without bytes does not end an answer") {
  SessionFixture fixture;
  asio::co_spawn(
      fixture.loop,
      [&]() -> asio::awaitable<void> {
        const net::SteadyTime until = net::Now() + milliseconds(1000);
        CHECK(co_await fixture.session->BeginChunks({}, until));
        CHECK(co_await fixture.session->SendChunk("", until));
        CHECK(co_await fixture.session->SendChunk("more", until));
      },
      asio::detached);
  fixture.loop.run_for(milliseconds(20));
  std::string received(fixture.caller.available(), '\0');
  asio::read(fixture.caller, asio::buffer(received));
  CHECK(received.ends_with("\r\n\r\n4\r\nmore\r\n"));
}

TEST_CASE("a caller's disconnect is detected while its request is in flight") {
  SessionFixture fixture;
  CancelScope cancel;
  fixture.session->StartWatch(cancel);
  fixture.loop.run_for(milliseconds(5));
  CHECK_FALSE(cancel.IsCancelled());
  fixture.caller.close();
  fixture.loop.restart();
  fixture.loop.run_for(milliseconds(20));
  CHECK(cancel.IsCancelled());
  fixture.session->StopWatch();
}

// Guards against chunks in the body of a caller that knows none, and parts that look complete.
TEST_CASE("an answer in chunks reaches an HTTP/1.0 caller whole and with a length") {
  SessionFixture fixture;
  const auto [before_end, all] =
      fixture.AnswerInChunks("GET /x HTTP/1.0\r\n\r\n", net::http::status::ok);
  CHECK(before_end.empty());
  CHECK(all.find("Transfer-Encoding") == std::string::npos);
  CHECK(all.find("Content-Length: 7\r\n") != std::string::npos);
  CHECK(all.ends_with("\r\n\r\none,two"));
}

// Guards against bytes that the caller would take for the beginning of its next answer.
TEST_CASE("an answer in chunks that has no body ends with its head") {
  for (const char* request : {"HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n", kRequest}) {
    SessionFixture fixture;
    const auto status = request == kRequest ? net::http::status::no_content : net::http::status::ok;
    const auto [before_end, all] = fixture.AnswerInChunks(request, status);
    CHECK(all.ends_with("\r\n\r\n"));
    CHECK(all.find("chunked") == std::string::npos);
  }
}

}  // namespace
}  // namespace lentilhead::gateway
