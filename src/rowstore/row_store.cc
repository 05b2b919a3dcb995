#include "rowstore/row_store.h"

#include <algorithm>

#include "net/retry_pause.h"
#include "platform/store_codec.h"

namespace lentilhead::rowstore {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{1200};     // one call: many times the store's usual answer
constexpr milliseconds kFeedMargin{1000};      // what a feed's answer may come after its wait
constexpr milliseconds kSilence{700};          // a call without an answer for so long met silence
constexpr milliseconds kRelayedTimeout{2400};  // a feed's wait and the margin of its answer
constexpr std::string_view kRelayPrefix = "/store";
constexpr milliseconds kFirstPause{40};     // between two tries of a call, doubled each time
constexpr milliseconds kLongestPause{500};  // bounds the load of retries on a recovering store

milliseconds CallTimeout(net::SteadyTime deadline) {
  const milliseconds left = net::ToMilliseconds(deadline - net::Now());
  return std::clamp(left, milliseconds(1), kCallTimeout);
}

}  // namespace

std::string_view NameOf(StoreError error) {
  switch (error) {
    case StoreError::kNothingDone:
      return "nothing_done";
    case StoreError::kUnknown:
      return "unknown";
    case StoreError::kHistoryGone:
      return "history_gone";
    case StoreError::kRejected:
      return "rejected";
  }
  return "unknown";
}

RowStore::RowStore(const net::asio::any_io_executor& executor, const net::tcp::endpoint& address)
    : executor(executor), caller(executor, address), relay(executor, address) {}

void RowStore::SetAddress(const net::tcp::endpoint& address) { this->caller.SetAddress(address); }

awaitable<net::HttpCaller::Outcome> RowStore::CallDirect(net::Request request,
                                                         milliseconds timeout) {
  const net::SteadyTime start = net::Now();
  net::HttpCaller::Outcome outcome = co_await this->caller.Call(std::move(request), timeout);
  const net::SteadyTime end = net::Now();
  const auto* response = std::get_if<net::Response>(&outcome);
  if (response != nullptr) {
    const bool turned_away = platform::IsTurnedAway(*response);
    this->path.Note(turned_away ? PathEvidence::kTurnedAway : PathEvidence::kServed, end);
  } else {
    const bool silent = end - start >= std::min(timeout, kSilence);
    this->path.Note(silent ? PathEvidence::kSilent : PathEvidence::kTurnedAway, end);
  }
  co_return outcome;
}

awaitable<net::HttpCaller::Outcome> RowStore::Call(net::Request request, milliseconds timeout) {
  std::optional<net::tcp::endpoint> peer;
  if (!this->path.IsServed() && this->find_relay) {
    peer = this->find_relay();
  }
  if (!peer || this->path.TryDirect(net::Now())) {
    co_return co_await this->CallDirect(std::move(request), timeout);
  }
  this->relay.SetAddress(*peer);
  request.target(std::string(kRelayPrefix) + std::string(request.target()));
  co_return co_await this->relay.Call(std::move(request), timeout);
}

awaitable<net::Response> RowStore::PassOn(net::Request request) {
  const std::string target(request.target());
  if (!target.starts_with(kRelayPrefix)) {
    co_return net::Response(net::http::status::not_found, 11);
  }
  request.target(target.substr(kRelayPrefix.size()));
  net::HttpCaller::Outcome outcome = co_await this->CallDirect(std::move(request), kRelayedTimeout);
  if (auto* response = std::get_if<net::Response>(&outcome)) {
    co_return std::move(*response);
  }
  // What was not sent has not been done; anything else is not known.
  const bool not_sent = std::get<net::CallError>(outcome) == net::CallError::kNotSent;
  co_return net::Response(
      not_sent ? net::http::status::service_unavailable : net::http::status::gateway_timeout, 11);
}

awaitable<void> RowStore::Pause(milliseconds span) {
  net::asio::steady_timer timer(this->executor, net::Jittered(span));
  co_await timer.async_wait(net::kAwaitWithError);
}

awaitable<CommitOutcome> RowStore::Commit(Transaction transaction, net::SteadyTime deadline) {
  const net::Request request = platform::EncodeCommit(transaction);
  bool maybe_applied = false;
  milliseconds pause = kFirstPause;
  while (true) {
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
    if (net::Now() + pause >= deadline) {
      co_return maybe_applied ? StoreError::kUnknown : StoreError::kNothingDone;
    }
    co_await this->Pause(pause);
    pause = std::min(pause * 2, kLongestPause);
  }
}

awaitable<ReadOutcome> RowStore::ReadOnce(const RowRange& range, net::SteadyTime deadline) {
  const net::Request request = platform::EncodeRead(range);
  milliseconds pause = kFirstPause;
  while (true) {
    net::HttpCaller::Outcome outcome = co_await this->Call(request, CallTimeout(deadline));
    if (const auto* response = std::get_if<net::Response>(&outcome)) {
      ReadOutcome decoded = platform::DecodeRows(*response);
      const auto* error = std::get_if<StoreError>(&decoded);
      if (error == nullptr || *error == StoreError::kRejected) {
        co_return decoded;
      }
    }
    if (net::Now() + pause >= deadline) {
      co_return StoreError::kNothingDone;
    }
    co_await this->Pause(pause);
    pause = std::min(pause * 2, kLongestPause);
  }
}

awaitable<ReadOutcome> RowStore::Read(RowRange range, net::SteadyTime deadline) {
  ReadRows all;
  while (true) {
    ReadOutcome outcome = co_await this->ReadOnce(range, deadline);
    auto* part = std::get_if<ReadRows>(&outcome);
    if (part == nullptr) {
      co_return outcome;
    }
    all.version = all.version == 0 ? part->version : std::min(all.version, part->version);
    std::move(part->rows.begin(), part->rows.end(), std::back_inserter(all.rows));
    if (!part->truncated || part->rows.empty() || range.first_page_only) {
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
  co_return StoreError::kNothingDone;
}

awaitable<bool> RowStore::PutObject(std::string name, std::string bytes, net::SteadyTime deadline) {
  const net::Request request = platform::EncodeObjectPut(name, std::move(bytes));
  milliseconds pause = kFirstPause;
  while (true) {
    net::HttpCaller::Outcome outcome = co_await this->Call(request, CallTimeout(deadline));
    const auto* response = std::get_if<net::Response>(&outcome);
    if (response != nullptr && platform::IsObjectStored(*response)) {
      co_return true;
    }
    if (net::Now() + pause >= deadline) {
      co_return false;
    }
    co_await this->Pause(pause);
    pause = std::min(pause * 2, kLongestPause);
  }
}

awaitable<std::optional<std::string>> RowStore::GetObject(std::string name,
                                                          net::SteadyTime deadline) {
  const net::Request request = platform::EncodeObjectGet(name);
  milliseconds pause = kFirstPause;
  while (true) {
    net::HttpCaller::Outcome outcome = co_await this->Call(request, CallTimeout(deadline));
    auto* response = std::get_if<net::Response>(&outcome);
    if (response != nullptr && response->result() == net::http::status::ok) {
      co_return std::move(response->body());
    }
    if (net::Now() + pause >= deadline) {
      co_return std::nullopt;
    }
    co_await this->Pause(pause);
    pause = std::min(pause * 2, kLongestPause);
  }
}

}  // namespace lentilhead::rowstore
