#include "gateway/internal/endpoint_attempt.h"

#include <doctest/doctest.h>

#include "gateway/gateway.h"
#include "platform/header_names.h"

namespace lentilhead::gateway::internal {
namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

/// Returns the head of an answer to a request, with a further header line.
std::string HeadFor(const std::string& request_id, const std::string& line) {
  return "HTTP/1.1 200 OK\r\n" + std::string(platform::kRequestId) + ": " + request_id + "\r\n" +
         line + "\r\n\r\n";
}

std::string SignedHead() {
  return HeadFor("r", std::string(platform::kSignature) + ": s\r\nConnection: close");
}

/// Answers the first request on a socket and sends `piece` until the connection is closed.
awaitable<void> SendWithoutEnd(net::tcp::acceptor& acceptor, std::string head, std::string piece) {
  net::tcp::socket socket(acceptor.get_executor());
  const auto [error] = co_await acceptor.async_accept(socket, net::kAwaitWithError);
  REQUIRE(!error);
  bool sent = true;
  std::string next = std::move(head);
  while (sent) {
    const auto [failed, written] =
        co_await net::asio::async_write(socket, net::asio::buffer(next), net::kAwaitWithError);
    sent = !failed;
    next = piece;
  }
}

/// Runs `read` on an attempt whose endpoint sends without end.
template <class Read>
void RunAttempt(std::string head, std::string piece, Read read) {
  net::asio::io_context loop;
  Gateway gateway(loop.get_executor(), "z");
  net::tcp::acceptor acceptor(loop, {net::asio::ip::address_v4::loopback(), 0});
  auto state = std::make_shared<EndpointState>();
  state->entry.id = "i-1";
  state->entry.address = acceptor.local_endpoint();
  CancelScope cancel;
  bool is_done = false;
  net::asio::co_spawn(loop, SendWithoutEnd(acceptor, std::move(head), std::move(piece)),
                      net::asio::detached);
  net::asio::co_spawn(
      loop,
      [&]() -> awaitable<void> {
        EndpointAttempt attempt(gateway, state, cancel);
        net::Request request(net::http::verb::post, "/x", 11);
        const EndpointAttempt::StartOutcome outcome =
            co_await attempt.Start(std::move(request), "r", {net::Now() + milliseconds(2000)});
        co_await read(attempt, outcome);
        is_done = true;
      },
      net::asio::detached);
  loop.run_for(std::chrono::seconds(20));
  CHECK(is_done);
}

TEST_CASE("a read after its time limit fails though bytes are there") {
  RunAttempt(SignedHead(), std::string(65536, 'x'),
             [](EndpointAttempt& attempt,
                const EndpointAttempt::StartOutcome& outcome) -> awaitable<void> {
               CHECK(std::holds_alternative<AnswerHead>(outcome));
               const net::SteadyTime until = net::Now() + milliseconds(20);
               BodyPiece piece;
               std::size_t reads = 0;
               while (piece.state == BodyState::kMore && reads < 100000) {
                 piece = co_await attempt.ReadPiece(until);
                 ++reads;
               }
               CHECK(piece.state == BodyState::kTimedOut);
             });
}

TEST_CASE("the rest of an answer that nobody needs is read up to a limit") {
  RunAttempt(SignedHead(), std::string(65536, 'x'),
             [](EndpointAttempt& attempt,
                const EndpointAttempt::StartOutcome& outcome) -> awaitable<void> {
               CHECK(std::holds_alternative<AnswerHead>(outcome));
               const BodyState state =
                   co_await attempt.Discard(net::Now() + std::chrono::seconds(5));
               CHECK(state == BodyState::kOverLimit);
               const BodyPiece piece = co_await attempt.ReadPiece(net::Now() + milliseconds(20));
               CHECK(piece.state == BodyState::kBroken);
             });
}

void CheckHeadFails(std::string head, std::string piece, AttemptFailure expected) {
  RunAttempt(std::move(head), std::move(piece),
             [expected](EndpointAttempt& /*attempt*/,
                        const EndpointAttempt::StartOutcome& outcome) -> awaitable<void> {
               const auto* failure = std::get_if<AttemptFailure>(&outcome);
               REQUIRE(failure != nullptr);
               CHECK(*failure == expected);
               co_return;
             });
}

TEST_CASE("heads without end exceed a limit") {
  CheckHeadFails("HTTP/1.1 200 OK\r\n", "X-Pad: x\r\n", AttemptFailure::kOverLimit);
  CheckHeadFails("", "HTTP/1.1 103 Early Hints\r\n\r\n", AttemptFailure::kOverLimit);
}

TEST_CASE("an answer whose stated length exceeds the limit fails at its head") {
  CheckHeadFails(HeadFor("r", "Content-Length: 134217729"), "x", AttemptFailure::kOverLimit);
}

TEST_CASE("the rest of an answer to another request is discarded up to a limit") {
  CheckHeadFails(HeadFor("other", "Content-Length: 1000000"), std::string(4096, 'x'),
                 AttemptFailure::kOverLimit);
}

TEST_CASE("an interim head precedes the answer") {
  RunAttempt("HTTP/1.1 103 Early Hints\r\n\r\n" + SignedHead(), "x",
             [](EndpointAttempt& /*attempt*/,
                const EndpointAttempt::StartOutcome& outcome) -> awaitable<void> {
               const auto* answer = std::get_if<AnswerHead>(&outcome);
               REQUIRE(answer != nullptr);
               CHECK(answer->head.result_int() == 200);
               co_return;
             });
}

/// Answers one request on each connection and leaves the connection open.
awaitable<void> AnswerOnEach(net::tcp::acceptor& acceptor, std::vector<net::tcp::socket>& sockets) {
  const std::string answer = HeadFor("r", "Content-Length: 0");
  while (true) {
    net::tcp::socket socket(acceptor.get_executor());
    const auto [error] = co_await acceptor.async_accept(socket, net::kAwaitWithError);
    REQUIRE(!error);
    co_await net::asio::async_write(socket, net::asio::buffer(answer), net::kAwaitWithError);
    sockets.push_back(std::move(socket));
  }
}

TEST_CASE("an attempt uses no connection that carried another request") {
  net::asio::io_context loop;
  Gateway gateway(loop.get_executor(), "z");
  net::tcp::acceptor acceptor(loop, {net::asio::ip::address_v4::loopback(), 0});
  std::vector<net::tcp::socket> sockets;
  auto state = std::make_shared<EndpointState>();
  state->entry.id = "i-1";
  state->entry.address = acceptor.local_endpoint();
  CancelScope cancel;
  net::asio::co_spawn(loop, AnswerOnEach(acceptor, sockets), net::asio::detached);
  net::asio::co_spawn(
      loop,
      [&]() -> awaitable<void> {
        for (int number = 0; number < 3; ++number) {
          EndpointAttempt attempt(gateway, state, cancel);
          const EndpointAttempt::StartOutcome outcome =
              co_await attempt.Start(net::Request(net::http::verb::post, "/x", 11), "r",
                                     {net::Now() + milliseconds(2000)});
          CHECK(std::holds_alternative<AnswerHead>(outcome));
          const BodyPiece piece = co_await attempt.ReadPiece(net::Now() + milliseconds(2000));
          CHECK(piece.state == BodyState::kEnd);
        }
        loop.stop();
      },
      net::asio::detached);
  loop.run_for(std::chrono::seconds(20));
  CHECK(sockets.size() == 3);
}

}  // namespace
}  // namespace lentilhead::gateway::internal
