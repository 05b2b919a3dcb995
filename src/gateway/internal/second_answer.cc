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
  const bool is_framed = this->Framing() != AnswerFraming::kConnection;
  while (is_framed &&
         (this->scan->IsUndecided() || (this->scan->HasUnsignedHead() && buffer.size() == 0))) {
    held->stream.expires_at(limit);
    const auto space = buffer.prepare(kReadBytes);
    const auto [error, read] = co_await held->stream.async_read_some(space, net::kAwaitWithError);
    if (error) {
      break;
    }
    this->scan->AddBehind({static_cast<const char*>(space.data()), read});
    buffer.commit(read);
  }
  // A quoted head is followed by the rest of the body; a second answer fills it and goes on.
  const bool is_followed = buffer.size() > 0;
  const bool is_cut = is_framed && is_followed && this->scan->IsUndecided();
  const bool is_unsigned = this->scan->HasUnsignedHead() && (!is_framed || is_followed);
  co_return this->scan->IsFound() || is_cut || is_unsigned;
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
