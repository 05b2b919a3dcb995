#include "jobs/submission.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <random>
#include <vector>

#include "jobs/waiting_token_limit.h"

namespace lentilhead::jobs {
namespace {

using rowstore::StoreError;
using rowstore::Version;

constexpr char kRoute[] = "h/batch/";
constexpr std::int64_t kLimit = 1000;

Claim JobOf(const std::string& id, std::int64_t tokens) {
  Claim claim;
  claim.job = id;
  claim.owner = "node";
  claim.route = kRoute;
  claim.total = 1;
  claim.waiting_tokens = tokens;
  return claim;
}

/// Claims with conditional writes, as the row store has them.
class ClaimStore {
 public:
  /// Writes a claim if the stored one has its version.
  ClaimOutcome Write(Claim claim) {
    const auto stored = this->claims.find(claim.job);
    const Version version = stored == this->claims.end() ? 0 : stored->second.version;
    if (version != claim.version) {
      return this->Get(claim.job);
    }
    claim.version = ++this->version;
    this->claims[claim.job] = claim;
    return claim;
  }

  ClaimOutcome Remove(const Claim& claim) {
    const auto stored = this->claims.find(claim.job);
    if (stored != this->claims.end() && stored->second.version == claim.version) {
      this->claims.erase(stored);
      ++this->version;
    }
    return this->Get(claim.job);
  }

  [[nodiscard]] ClaimOutcome Get(const std::string& job) const {
    const auto stored = this->claims.find(job);
    return stored == this->claims.end() ? ClaimOutcome(NoSuchJob{}) : ClaimOutcome(stored->second);
  }

  void CopyTo(JobDirectory& directory) const {
    std::set<std::string> jobs;
    for (const auto& [job, claim] : this->claims) {
      jobs.insert(job);
      directory.Put(claim);
    }
    directory.RetainOnly(jobs, this->version);
  }

  [[nodiscard]] std::int64_t AcceptedTokens() const {
    std::int64_t tokens = 0;
    for (const auto& [job, claim] : this->claims) {
      tokens += claim.state == JobState::kOpen ? claim.waiting_tokens : 0;
    }
    return tokens;
  }

  std::map<std::string, Claim> claims;

 private:
  Version version = 0;
};

/// Carries out one step of a submission. @return false once it has ended.
bool Advance(Submission& submission, ClaimStore& store, JobDirectory& directory,
             bool lose_answer = false) {
  const SubmissionStep step = submission.Next();
  if (const auto* create = std::get_if<CreateClaim>(&step)) {
    const bool existed = store.claims.contains(create->claim.job);
    const ClaimOutcome outcome = store.Write(create->claim);
    submission.OnCreated(lose_answer ? StoreError::kUnknown : outcome, !existed);
  } else if (std::holds_alternative<RefreshClaims>(step)) {
    if (!lose_answer) {
      store.CopyTo(directory);
    }
    submission.OnRefreshed(!lose_answer);
  } else if (const auto* open = std::get_if<OpenClaim>(&step)) {
    const ClaimOutcome outcome = store.Write(open->claim);
    submission.OnDecided(lose_answer ? StoreError::kUnknown : outcome);
  } else if (const auto* withdraw = std::get_if<WithdrawClaim>(&step)) {
    const ClaimOutcome outcome = store.Remove(withdraw->claim);
    submission.OnDecided(lose_answer ? StoreError::kUnknown : outcome);
  } else {
    return false;
  }
  return true;
}

TEST_CASE("a job that fits is accepted, and a repeat of it although nothing is left") {
  ClaimStore store;
  JobDirectory directory;
  Submission first(JobOf("a", kLimit), kLimit, directory);
  while (Advance(first, store, directory)) {
  }
  REQUIRE(std::holds_alternative<JobAccepted>(first.Next()));
  CHECK(std::get<JobAccepted>(first.Next()).is_first);
  JobDirectory other_node;
  Submission repeat(JobOf("a", kLimit), kLimit, other_node);
  while (Advance(repeat, store, other_node)) {
  }
  REQUIRE(std::holds_alternative<JobAccepted>(repeat.Next()));
  CHECK_FALSE(std::get<JobAccepted>(repeat.Next()).is_first);
}

TEST_CASE("a job beyond the limit is refused without a trace in the store") {
  ClaimStore store;
  JobDirectory directory;
  store.Write(JobOf("a", 900));
  JobDirectory stale;
  for (JobDirectory* view : {&directory, &stale}) {
    if (view == &directory) {
      store.CopyTo(directory);
    }
    Submission late(JobOf("b", 200), kLimit, *view);
    while (Advance(late, store, *view)) {
    }
    REQUIRE(std::holds_alternative<OverTokenLimit>(late.Next()));
    CHECK(std::get<OverTokenLimit>(late.Next()).excess == 100);
    CHECK_FALSE(store.claims.contains("b"));
  }
}

TEST_CASE("of two jobs submitted at once only the first in the store's order takes the tokens") {
  ClaimStore store;
  JobDirectory one;
  JobDirectory two;
  Submission first(JobOf("a", 600), kLimit, one);
  Submission second(JobOf("b", 600), kLimit, two);
  Advance(first, store, one);
  Advance(second, store, two);
  while (Advance(second, store, two)) {
  }
  while (Advance(first, store, one)) {
  }
  CHECK(std::holds_alternative<OverTokenLimit>(second.Next()));
  CHECK(std::holds_alternative<JobAccepted>(first.Next()));
}

TEST_CASE("without a limit a job is accepted by its creation alone") {
  ClaimStore store;
  JobDirectory directory;
  Submission submission(JobOf("a", 5 * kLimit), 0, directory);
  CHECK(Advance(submission, store, directory));
  CHECK(std::holds_alternative<JobAccepted>(submission.Next()));
}

TEST_CASE("a store that does not answer the check leaves the job refused as not stored") {
  ClaimStore store;
  JobDirectory directory;
  store.Write(JobOf("a", kLimit));
  store.CopyTo(directory);
  Submission submission(JobOf("b", 1), kLimit, directory);
  Advance(submission, store, directory, true);
  REQUIRE(std::holds_alternative<StoreError>(submission.Next()));
  CHECK(std::get<StoreError>(submission.Next()) == StoreError::kNotApplied);
}

/// A flood of jobs at several nodes, with lost answers, killed nodes, stale views and late writes.
class FloodPlay {
 public:
  explicit FloodPlay(std::uint32_t seed) : random(seed), nodes(kNodes) {}

  void Run() {
    for (int tick = 0; tick < kTicks; ++tick) {
      this->Submit(tick);
      this->AdvanceSome();
      this->FinishSome();
      this->ApplyLateWrite();
      REQUIRE(this->store.AcceptedTokens() <= kLimit);
    }
    CHECK(this->accepted > 0);
    CHECK(this->refused > 0);
  }

 private:
  static constexpr std::size_t kNodes = 7;
  static constexpr int kTicks = 600;

  struct Call {
    std::string job;
    std::size_t node = 0;
    std::unique_ptr<Submission> submission;
  };

  std::size_t Below(std::size_t limit) { return this->random() % limit; }
  bool Chance(std::size_t one_in) { return this->Below(one_in) == 0; }

  void Start(const std::string& job, std::int64_t tokens) {
    const std::size_t node = this->Below(kNodes);
    if (this->Chance(3)) {
      this->store.CopyTo(this->nodes[node]);
    }
    this->calls.push_back(
        {job, node, std::make_unique<Submission>(JobOf(job, tokens), kLimit, this->nodes[node])});
  }

  void Submit(int tick) {
    const std::string job = "j" + std::to_string(tick);
    this->tokens[job] = 20 + static_cast<std::int64_t>(this->Below(150));
    this->Start(job, this->tokens[job]);
    if (this->Chance(2)) {  // callers return with the same job while its first call is still open
      const std::string earlier =
          "j" + std::to_string(this->Below(static_cast<std::size_t>(tick) + 1));
      this->Start(earlier, this->tokens[earlier]);
    }
  }

  void AdvanceSome() {
    for (std::size_t count = 0; count < 8 && !this->calls.empty(); ++count) {
      const std::size_t index = this->Below(this->calls.size());
      Call& call = this->calls[index];
      if (this->Chance(40)) {
        this->KeepLateWrite(call.submission->Next());
        this->Kill(call.node);
        return;
      }
      if (!Advance(*call.submission, this->store, this->nodes[call.node], this->Chance(20))) {
        this->Check(call);
        this->calls.erase(this->calls.begin() + static_cast<std::ptrdiff_t>(index));
      }
    }
  }

  void Kill(std::size_t node) {
    std::erase_if(this->calls, [node](const Call& call) { return call.node == node; });
    this->nodes[node] = JobDirectory();
    this->store.CopyTo(this->nodes[node]);
  }

  void Check(const Call& call) {
    if (std::holds_alternative<JobAccepted>(call.submission->Next())) {
      ++this->accepted;
    } else if (std::holds_alternative<OverTokenLimit>(call.submission->Next())) {
      ++this->refused;
    }
  }

  void KeepLateWrite(const SubmissionStep& step) {
    if (const auto* create = std::get_if<CreateClaim>(&step)) {
      this->late_writes.push_back(create->claim);
    } else if (const auto* open = std::get_if<OpenClaim>(&step)) {
      this->late_writes.push_back(open->claim);
    }
  }

  void ApplyLateWrite() {
    if (!this->late_writes.empty() && this->Chance(30)) {
      this->store.Write(this->late_writes.back());
      this->late_writes.pop_back();
    }
  }

  void FinishSome() {
    for (auto& [job, claim] : this->store.claims) {
      if (claim.state == JobState::kOpen && this->Chance(25)) {
        Claim changed = claim;
        changed.waiting_tokens /= 2;
        changed.state = this->Chance(2) ? JobState::kDone : JobState::kOpen;
        this->store.Write(changed);
      }
    }
  }

  std::mt19937 random;
  ClaimStore store;
  std::vector<JobDirectory> nodes;
  std::vector<Call> calls;
  std::vector<Claim> late_writes;
  std::map<std::string, std::int64_t> tokens;
  int accepted = 0;
  int refused = 0;
};

TEST_CASE("a flood at many nodes never exceeds the limit") {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    FloodPlay(seed).Run();
  }
}

}  // namespace
}  // namespace lentilhead::jobs
