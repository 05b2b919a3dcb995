#include "rowstore/row_store.h"

#include <algorithm>

#include "platform/store_codec.h"

namespace lentilhead::rowstore {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{1200};  // far longer than the usual answer of the store
// Time that a WaitForChanges() call may take beyond its wait.
constexpr milliseconds kFeedMargin{1000};
// A call that fails after at least this time counts as silence, an earlier failure as a refusal.
constexpr milliseconds kSilenceThreshold{700};
// A feed's default wait of 1500 ms and most of its margin.
constexpr milliseconds kRelayTimeout{2400};
// Far above the largest answers: the store sends at most 1 MB of rows in one.
constexpr std::uint64_t kMaxObjectBytes = 64ULL << 20U;
constexpr std::uint64_t kMaxRowsBytes = 16ULL << 20U;
constexpr std::string_view kRelayPrefix = "/store";
constexpr milliseconds kFirstRetryDelay{40};
constexpr milliseconds kMaxRetryDelay{500};  // bounds the load of retries on a recovering store

/// Largest answer to a call that is read.
std::uint64_t MostBytes(const net::Request& call) {
  return platform::IsObjectCall(call) ? kMaxObjectBytes : kMaxRowsBytes;
}

milliseconds CallTimeout(net::SteadyTime deadline) {
  const milliseconds left = net::ToMilliseconds(deadline - net::Now());
  return std::clamp(left, milliseconds(1), kCallTimeout);
}

}  // namespace

std::string_view NameOf(StoreError error) {
  switch (error) {
    case StoreError::kNotApplied:
      return "nothing_done";
    case StoreError::kUnknown:
      return "unknown";
    case StoreError::kHistoryExpired:
      return "history_gone";
    case StoreError::kRejected:
      return "rejected";
  }
  return "unknown";
}

RowStore::RowStore(const net::asio::any_io_executor& executor, const net::tcp::endpoint& address)
    : executor(executor), caller(executor, address), relay(executor, address) {}

void RowStore::SetAddress(const net::tcp::endpoint& address) {
  if (address == this->caller.Address()) {
    return;
  }
  this->caller.SetAddress(address);
  this->caller.EndReads();  // their callers repeat them at the new address
  this->path = StorePath();
}

awaitable<net::HttpCaller::Outcome> RowStore::CallDirect(net::Request request,
                                                         milliseconds timeout) {
  const net::SteadyTime start = net::Now();
  const net::tcp::endpoint server = this->caller.Address();
  const std::uint64_t most_bytes = MostBytes(request);
  net::HttpCaller::Outcome outcome =
      co_await this->caller.Call(std::move(request), timeout, most_bytes);
  const net::SteadyTime end = net::Now();
  if (server != this->caller.Address()) {
    co_return outcome;  // tells nothing about the path to the new address
  }
  const auto* response = std::get_if<net::Response>(&outcome);
  if (response != nullptr) {
    const bool refused = platform::IsNotApplied(*response);
    this->path.Note(refused ? PathOutcome::kRefused : PathOutcome::kAnswered, end);
  } else {
    const bool silent = end - start >= std::min(timeout, kSilenceThreshold);
    this->path.Note(silent ? PathOutcome::kSilent : PathOutcome::kRefused, end);
  }
  co_return outcome;
}

awaitable<net::HttpCaller::Outcome> RowStore::Call(net::Request request, milliseconds timeout) {
  std::optional<net::tcp::endpoint> peer;
  if (!this->path.IsServingThisNode() && this->find_relay) {
    peer = this->find_relay();
  }
  if (!peer || this->path.ShouldTryDirect(net::Now())) {
    co_return co_await this->CallDirect(std::move(request), timeout);
  }
  this->relay.SetAddress(*peer);
  const std::uint64_t most_bytes = MostBytes(request);
  request.target(std::string(kRelayPrefix) + std::string(request.target()));
  co_return co_await this->relay.Call(std::move(request), timeout, most_bytes);
}

awaitable<net::Response> RowStore::RelayCall(net::Request request) {
  const std::string target(request.target());
  if (!target.starts_with(kRelayPrefix)) {
    co_return net::Response(net::http::status::not_found, 11);
  }
  request.target(target.substr(kRelayPrefix.size()));
  net::HttpCaller::Outcome outcome = co_await this->CallDirect(std::move(request), kRelayTimeout);
  if (auto* response = std::get_if<net::Response>(&outcome)) {
    co_return std::move(*response);
  }
  // A request that was not sent has had no effect; otherwise its outcome is unknown.
  const bool not_sent = std::get<net::CallError>(outcome) == net::CallError::kNotSent;
  co_return net::Response(
      not_sent ? net::http::status::service_unavailable : net::http::status::gateway_timeout, 11);
}

net::Backoff RowStore::MakeBackoff(net::SteadyTime deadline) const {
  return {this->executor, deadline, kFirstRetryDelay, kMaxRetryDelay};
}

awaitable<std::optional<net::Response>> RowStore::CallUntil(
    net::Request request, std::function<bool(const net::Response&)> is_done,
    net::SteadyTime deadline) {
  net::Backoff backoff = this->MakeBackoff(deadline);
  bool try_again = true;
  while (try_again) {
    net::HttpCaller::Outcome outcome = co_await this->Call(request, CallTimeout(deadline));
    auto* response = std::get_if<net::Response>(&outcome);
    if (response != nullptr && is_done(*response)) {
      co_return std::move(*response);
    }
    try_again = co_await backoff.Wait();
  }
  co_return std::nullopt;
}

awaitable<CommitOutcome> RowStore::Commit(Transaction transaction, net::SteadyTime deadline) {
  const net::Request request = platform::EncodeCommit(transaction);
  bool maybe_applied = false;
  net::Backoff backoff = this->MakeBackoff(deadline);
  bool try_again = true;
  while (try_again) {
    net::HttpCaller::Outcome outcome = co_await this->Call(request, CallTimeout(deadline));
    if (const auto* response = std::get_if<net::Response>(&outcome)) {
      CommitOutcome decoded = platform::DecodeCommit(*response);
      const auto* error = std::get_if<StoreError>(&decoded);
      if (error == nullptr || *error == StoreError::kRejected) {
        co_return decoded;
      }
      maybe_applied = maybe_applied || *error == StoreError::kUnknown;
    } else {
      maybe_applied =
          maybe_applied || std::get<net::CallError>(outcome) != net::CallError::kNotSent;
    }
    try_again = co_await backoff.Wait();
  }
  co_return maybe_applied ? StoreError::kUnknown : StoreError::kNotApplied;
}

awaitable<ReadOutcome> RowStore::ReadPage(const RowRange& range, net::SteadyTime deadline) {
  const net::Request request = platform::EncodeRead(range);
  net::Backoff backoff = this->MakeBackoff(deadline);
  bool try_again = true;
  while (try_again) {
    net::HttpCaller::Outcome outcome = co_await this->Call(request, CallTimeout(deadline));
    if (const auto* response = std::get_if<net::Response>(&outcome)) {
      ReadOutcome decoded = platform::DecodeRows(*response);
      const auto* error = std::get_if<StoreError>(&decoded);
      if (error == nullptr || *error == StoreError::kRejected) {
        co_return decoded;
      }
    }
    try_again = co_await backoff.Wait();
  }
  co_return StoreError::kNotApplied;
}

awaitable<ReadOutcome> RowStore::Read(RowRange range, net::SteadyTime deadline) {
  ReadRows all;
  while (true) {
    ReadOutcome outcome = co_await this->ReadPage(range, deadline);
    auto* part = std::get_if<ReadRows>(&outcome);
    if (part == nullptr) {
      co_return outcome;
    }
    const bool is_last = !part->truncated || part->rows.empty() || range.first_page_only;
    all.Append(std::move(*part));
    if (is_last) {
      co_return all;
    }
    range.from = all.rows.back().key.key + '\x01';
  }
}

awaitable<ReadOutcome> RowStore::WaitForChanges(std::string table, Version after,
                                                milliseconds wait) {
  net::Request request = platform::EncodeFeed(table, after, wait);
  net::HttpCaller::Outcome outcome = co_await this->Call(std::move(request), wait + kFeedMargin);
  if (const auto* response = std::get_if<net::Response>(&outcome)) {
    co_return platform::DecodeRows(*response);
  }
  co_return StoreError::kNotApplied;
}

awaitable<bool> RowStore::PutObject(std::string name, std::string bytes, net::SteadyTime deadline) {
  net::Request request = platform::EncodeObjectPut(name, std::move(bytes));
  const std::optional<net::Response> response =
      co_await this->CallUntil(std::move(request), platform::IsObjectStored, deadline);
  co_return response.has_value();
}

awaitable<std::optional<std::string>> RowStore::GetObject(std::string name,
                                                          net::SteadyTime deadline) {
  const auto is_read = [](const net::Response& response) {
    return response.result() == net::http::status::ok;
  };
  std::optional<net::Response> response =
      co_await this->CallUntil(platform::EncodeObjectGet(name), is_read, deadline);
  if (!response) {
    co_return std::nullopt;
  }
  co_return std::move(response->body());
}

}  // namespace lentilhead::rowstore
