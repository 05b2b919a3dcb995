#include "gateway/shared_limit.h"

#include <algorithm>
#include <numeric>

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

// The bucket holds the requests of this time and one more. With these, the requests of 4 s stay
// well below one and a half times the limit.
constexpr double kBurstSeconds = 0.5;
// What peers sent while this node did not hear them is past; more than chance collisions is not
// owed.
constexpr double kMaxDebt = 4;
constexpr double kMaxDebtSeconds = 1;
// Answers without a limit in a row that end it. Endpoints name it in every fourth answer at least.
constexpr std::uint32_t kEndAnswers = 4;
// Answers of several nodes arrive out of order within this time.
constexpr milliseconds kMinEndDelay{300};
// An endpoint that takes nothing is asked now and then whether that has changed.
constexpr double kMinLimit = 0.05;
constexpr double kMaxLimit = 1e6;   // beyond any endpoint; bounds the numbers in messages
constexpr double kTrialTokens = 3;  // with the first answer, kEndAnswers
// Between two of these, doubled after each one that was followed by another naming.
constexpr milliseconds kMinTrialPause{4000};
constexpr int kMaxTrialDoublings = 4;
// The ages in messages are older by the time that messages take.
constexpr milliseconds kAgeTolerance{100};
// What a peer sent before this node knew the limit is not to be repaid.
constexpr milliseconds kLearningTime{1000};

}  // namespace

double SharedLimit::Capacity() const { return 1 + kBurstSeconds * this->limit; }

double SharedLimit::LevelAt(net::SteadyTime now) const {
  const double elapsed =
      std::chrono::duration<double>(std::max(now, this->level_at) - this->level_at).count();
  const double filled = this->level + this->limit * this->share * elapsed;
  return std::min(filled, std::max(this->Capacity(), this->level));
}

void SharedLimit::Advance(net::SteadyTime now) {
  this->level = this->LevelAt(now);
  this->level_at = now;
}

void SharedLimit::SetShare(double new_share, net::SteadyTime now) {
  if (new_share != this->share) {
    this->Advance(now);
    this->share = new_share;
  }
}

void SharedLimit::Take(double tokens, net::SteadyTime now) {
  this->Advance(now);
  const double max_debt = kMaxDebt + kMaxDebtSeconds * this->limit;
  this->level = std::max(this->level - tokens, -max_debt);
}

LimitChange SharedLimit::Name(double named, net::SteadyTime at, net::SteadyTime now) {
  named = std::clamp(named, kMinLimit, kMaxLimit);
  this->Advance(now);
  this->failed_trials += std::exchange(this->is_in_trial, false) ? 1 : 0;
  const double before = std::exchange(this->limit, named);
  this->named_at = at;
  this->own_unnamed = 0;
  for (auto& [name, part] : this->peers) {
    part.unnamed = 0;
  }
  if (before == 0) {
    this->level = 0;
    return LimitChange::kNamed;
  }
  this->level = std::min(this->level, std::max(this->Capacity(), kTrialTokens));
  return before == named ? LimitChange::kNone : LimitChange::kChanged;
}

LimitChange SharedLimit::RecordNamed(double named, net::SteadyTime sent_at, net::SteadyTime now) {
  // The endpoint may have lowered the limit since it began this answer.
  const bool may_be_outdated = sent_at < this->named_at && named > this->limit;
  if (may_be_outdated && this->IsActive()) {
    return LimitChange::kNone;
  }
  ++this->own_namings;
  this->own_named_at = now;
  this->changed_at = now;
  return this->Name(named, now, now);
}

std::uint32_t SharedLimit::Unnamed() const {
  return std::accumulate(
      this->peers.begin(), this->peers.end(), this->own_unnamed,
      [](std::uint32_t sum, const auto& item) { return sum + item.second.unnamed; });
}

void SharedLimit::AddTrialTokens(net::SteadyTime now) {
  const milliseconds pause =
      kMinTrialPause * (1 << std::min(this->failed_trials, kMaxTrialDoublings));
  if (this->trial_at != net::SteadyTime{} && now - this->trial_at < pause) {
    return;
  }
  this->trial_at = now;
  this->is_in_trial = true;
  this->Advance(now);
  this->level = std::max(this->level, std::min(this->level + kTrialTokens, kTrialTokens));
}

LimitChange SharedLimit::RecordUnnamed(net::SteadyTime sent_at, net::SteadyTime now) {
  if (!this->IsActive() || sent_at < this->named_at) {
    return LimitChange::kNone;
  }
  if (this->Unnamed() == 0) {
    this->AddTrialTokens(now);
  }
  if (this->own_unnamed < kEndAnswers) {
    ++this->own_unnamed;
    this->changed_at = now;
  }
  return this->CheckEnd(now);
}

LimitChange SharedLimit::CheckEnd(net::SteadyTime now) {
  const bool has_ended =
      this->IsActive() && this->Unnamed() >= kEndAnswers && now - this->named_at >= kMinEndDelay;
  if (!has_ended) {
    return LimitChange::kNone;
  }
  this->limit = 0;
  this->is_in_trial = false;
  this->failed_trials = 0;
  return LimitChange::kEnded;
}

void SharedLimit::RecordSent(net::SteadyTime now) {
  this->Take(1, now);
  ++this->own_sent;
  this->changed_at = now;
}

LimitChange SharedLimit::Merge(const std::string& peer, const EndpointLimitReport& report,
                               net::SteadyTime now) {
  const auto [found, is_first] = this->peers.try_emplace(peer);
  PeerPart& part = found->second;
  const bool counts_anew = report.sent < part.sent || report.namings < part.namings;
  if (counts_anew) {
    part = {};
  }
  const bool is_learning = is_first && now - this->created_at < kLearningTime;
  LimitChange change = LimitChange::kNone;
  const bool is_unknown = this->named_at == net::SteadyTime{};
  const bool is_news = report.namings > part.namings;
  const net::SteadyTime named = now - (is_news ? report.named_age : report.known_age);
  if (report.limit > 0 && (is_unknown || (is_news && named > this->named_at))) {
    change = this->Name(report.limit, named, now);
  }
  part.namings = std::max(part.namings, report.namings);
  if (report.sent > part.sent) {
    this->Take(is_learning ? 0 : report.sent - part.sent, now);
    part.sent = report.sent;
  }
  const bool knows_last_naming = now - report.known_age >= this->named_at - kAgeTolerance;
  const bool had_unnamed = this->Unnamed() > 0;
  part.unnamed = knows_last_naming ? report.unnamed : 0;
  if (!had_unnamed && part.unnamed > 0 && this->IsActive()) {
    this->AddTrialTokens(now);
  }
  const LimitChange end = this->CheckEnd(now);
  return end == LimitChange::kNone ? change : end;
}

EndpointLimitReport SharedLimit::Report(std::uint32_t incarnation, net::SteadyTime now) const {
  EndpointLimitReport report;
  report.incarnation = incarnation;
  report.limit = this->limit;
  report.sent = this->own_sent;
  report.namings = this->own_namings;
  report.unnamed = this->own_unnamed;
  report.known_age = net::ToMilliseconds(now - this->named_at);
  report.named_age =
      this->own_namings > 0 ? net::ToMilliseconds(now - this->own_named_at) : report.known_age;
  return report;
}

bool SharedLimit::IsWorthReporting() const {
  return this->named_at != net::SteadyTime{} &&
         (this->IsActive() || this->own_sent > 0 || this->own_namings > 0);
}

}  // namespace lentilhead::gateway
