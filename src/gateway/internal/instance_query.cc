#include "gateway/internal/instance_query.h"

#include "platform/health_codec.h"

namespace lentilhead::gateway::internal {

namespace {

InstanceQuery::Reply ReplyAfter(const net::ErrorCode& error) {
  return error == net::beast::error::timeout ? InstanceQuery::Reply::kSilent
                                             : InstanceQuery::Reply::kLost;
}

}  // namespace

net::asio::awaitable<InstanceQuery::Reply> InstanceQuery::Ask(
    std::shared_ptr<EndpointConnection> connection, std::string path, net::SteadyTime until) {
  const EndpointEntry entry = connection->endpoint->entry;
  const net::Request call = platform::EncodeHealthCall(path, entry);
  connection->stream.expires_at(until);
  const auto [write_error, written] =
      co_await net::http::async_write(connection->stream, call, net::kAwaitWithError);
  if (write_error) {
    co_return ReplyAfter(write_error);
  }
  net::http::response_parser<net::http::empty_body> parser;
  parser.header_limit(AnswerLimits::kMaxHeadBytes);
  parser.skip(true);
  const auto [read_error, read] = co_await net::http::async_read_header(
      connection->stream, connection->buffer, parser, net::kAwaitWithError);
  if (read_error) {
    co_return ReplyAfter(read_error);
  }
  co_return platform::IsHealthAnswerOf(parser.get().base(), entry) ? Reply::kSame : Reply::kOther;
}

}  // namespace lentilhead::gateway::internal
