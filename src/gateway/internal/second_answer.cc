#include <algorithm>

#include "gateway/gateway.h"
#include "gateway/internal/endpoint_attempt.h"
#include "net/log_line.h"
#include "net/socket_options.h"

namespace lentilhead::gateway::internal {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

// An endpoint writes a head at once; its packets arrive within a round trip.
constexpr milliseconds kRestOfHeadLimit{50};
constexpr std::size_t kReadBytes = 4 << 10;

}  // namespace

awaitable<bool> EndpointAttempt::EndsInSecondAnswer(net::SteadyTime until) {
  const std::shared_ptr<EndpointConnection> held = this->connection;
  net::beast::flat_buffer& buffer = held->buffer;
  const auto behind = buffer.cdata();
  this->scan->AddBehind({static_cast<const char*>(behind.data()), behind.size()});
  const net::SteadyTime limit = std::min(until, net::Now() + kRestOfHeadLimit);
  while (this->scan->IsUndecided() && this->Framing() != AnswerFraming::kConnection) {
    held->stream.expires_at(limit);
    const auto space = buffer.prepare(kReadBytes);
    const auto [error, read] = co_await held->stream.async_read_some(space, net::kAwaitWithError);
    if (error) {
      break;
    }
    this->scan->AddBehind({static_cast<const char*>(space.data()), read});
    buffer.commit(read);
  }
  co_return this->scan->IsFound();
}

void EndpointAttempt::AbortAtSecondAnswer() {
  net::LogLine("second_answer_in_body")
      .With("request", this->request_id)
      .With("endpoint", this->endpoint->entry.id)
      .With("framing", NameOf(this->Framing()))
      .With("received", this->received)
      .With("through", this->through ? this->through->to_string() : "");
  this->gateway.metrics.GetCounter("gateway_second_answers_in_bodies_total").Add();
  this->Abort();
}

}  // namespace lentilhead::gateway::internal
