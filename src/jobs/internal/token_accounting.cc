#include <algorithm>

#include "jobs/internal/unix_time.h"
#include "jobs/job_service.h"
#include "jobs/waiting_token_limit.h"
#include "net/backoff.h"
#include "net/log_line.h"
#include "net/spawn.h"

namespace lentilhead::jobs {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

constexpr milliseconds kRefreshRetryDelay{40};
constexpr milliseconds kWithdrawTimeout{1000};
constexpr milliseconds kSubmissionCleanupPeriod{1000};
// Longer than a submission may take, including a write that the store carries out late.
constexpr milliseconds kSubmissionLifetime{10000};

}  // namespace

awaitable<bool> JobService::RefreshClaims(rowstore::Version at_least, net::SteadyTime deadline) {
  net::asio::steady_timer timer(this->gateway.executor);
  while (net::Now() < deadline) {
    rowstore::ReadOutcome outcome = co_await this->store.ReadChangedClaims(this->claims_version);
    const auto* error = std::get_if<rowstore::StoreError>(&outcome);
    const bool is_whole = error != nullptr && *error == rowstore::StoreError::kHistoryExpired;
    if (is_whole) {
      outcome = co_await this->store.ReadAllClaims(deadline);
    }
    if (const auto* read = std::get_if<rowstore::ReadRows>(&outcome)) {
      if (is_whole) {
        this->ReplaceClaims(read->rows, read->version);
      } else {
        this->ChangeClaims(read->rows, read->version);
      }
      if (this->claims_version >= at_least) {
        co_return true;
      }
    }
    timer.expires_after(net::Jittered(kRefreshRetryDelay));
    co_await timer.async_wait(net::kAwaitWithError);
  }
  co_return false;
}

std::int64_t JobService::TokenLimitOf(const Claim& claim) const {
  const auto& config = this->gateway.routes.Config();
  if (!config) {
    return 0;
  }
  const auto route = std::find_if(
      config->routes.begin(), config->routes.end(), [&](const gateway::Route& candidate) {
        return candidate.kind == gateway::RouteKind::kBatch && candidate.Key() == claim.route;
      });
  return route == config->routes.end() ? 0 : route->max_waiting_tokens;
}

void JobService::NoteDrained(const Claim& claim) {
  const Claim* known = this->directory.Find(claim.job);
  if (known == nullptr || known->state != JobState::kOpen || claim.version <= known->version) {
    return;
  }
  const std::int64_t left = claim.state == JobState::kOpen ? claim.waiting_tokens : 0;
  if (left < known->waiting_tokens) {
    this->drains[claim.route].Add(known->waiting_tokens - left, net::Now());
  }
}

milliseconds JobService::RetryAfter(const std::string& route, std::int64_t excess) {
  return this->drains[route].RetryAfter(excess, net::RandomFraction(), net::Now());
}

void JobService::UpdateGauges() {
  const auto& config = this->gateway.routes.Config();
  if (!config) {
    return;
  }
  for (const gateway::Route& route : config->routes) {
    if (route.kind == gateway::RouteKind::kBatch) {
      framework::Metrics& metrics = this->gateway.metrics;
      metrics.GetGauge("job_waiting_tokens", {{"route", route.name}})
          .Set(WaitingTokenLimit::Waiting(this->directory, route.Key()));
      metrics.GetGauge("job_waiting_tokens_limit", {{"route", route.name}})
          .Set(route.max_waiting_tokens);
    }
  }
}

void JobService::RemoveAbandonedSubmissions() {
  const net::SteadyTime now = net::Now();
  if (now - this->last_submission_cleanup < kSubmissionCleanupPeriod) {
    return;
  }
  this->last_submission_cleanup = now;
  std::vector<std::string> alive;
  for (const auto& [id, entry] : this->directory.Entries()) {
    const Claim& claim = entry.claim;
    const bool is_old =
        internal::UnixTimeMs() - claim.accepted_unix_ms > kSubmissionLifetime.count();
    if (claim.state != JobState::kSubmitted || !is_old) {
      continue;
    }
    if (alive.empty()) {
      alive = this->peers.Alive();
    }
    if (TakeoverPolicy::IsFirst(id, alive, this->peers.Incarnation(),
                                this->presence.Groups().GroupsBefore(id))) {
      net::Spawn(this->gateway.executor, "withdraw_submission", this->WithdrawAbandoned(claim));
    }
  }
}

awaitable<void> JobService::WithdrawAbandoned(Claim claim) {
  const ClaimOutcome outcome = co_await this->store.Withdraw(claim, net::Now() + kWithdrawTimeout);
  net::LogLine("submission_withdrawn")
      .With("job", claim.job)
      .With("tokens", claim.waiting_tokens)
      .With("written", std::holds_alternative<NoSuchJob>(outcome))
      .With("reason", "abandoned");
}

}  // namespace lentilhead::jobs
