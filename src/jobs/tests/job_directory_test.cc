#include "jobs/job_directory.h"

#include <doctest/doctest.h>

namespace lentilhead::jobs {
namespace {

Claim ClaimOf(const std::string& job, rowstore::Version version) {
  Claim claim;
  claim.job = job;
  claim.version = version;
  return claim;
}

TEST_CASE("an older claim does not replace a newer one") {
  JobDirectory directory;
  CHECK(directory.Put(ClaimOf("one", 7)));
  CHECK_FALSE(directory.Put(ClaimOf("one", 6)));
  CHECK(directory.Find("one")->version == 7);
}

TEST_CASE("a snapshot removes the claim of a job that it does not contain") {
  JobDirectory directory;
  directory.Put(ClaimOf("kept", 3));
  directory.Put(ClaimOf("removed", 4));
  CHECK(directory.RetainOnly({"kept"}, 10) == std::vector<std::string>{"removed"});
  CHECK(directory.Find("removed") == nullptr);
  CHECK(directory.Find("kept") != nullptr);
}

TEST_CASE("a claim that is newer than the snapshot stays") {
  JobDirectory directory;
  directory.Put(ClaimOf("accepted-since", 11));
  CHECK(directory.RetainOnly({}, 10).empty());
  CHECK(directory.Find("accepted-since") != nullptr);
}

TEST_CASE("the live nodes have different takeover delays for a job") {
  const std::vector<std::string> alive = {"a#1", "b#1", "c#1"};
  std::set<std::chrono::milliseconds> delays;
  for (const std::string& node : alive) {
    delays.insert(TakeoverPolicy::Delay("job", alive, node, 0));
  }
  CHECK(delays.size() == alive.size());
  CHECK(TakeoverPolicy::Delay("job", {}, "a#1", 0) == *delays.begin());
}

TEST_CASE("a claim that was replaced or removed while a job was read is not the newest") {
  JobDirectory directory;
  Claim taken;
  taken.job = "a";
  taken.version = 20;
  CHECK_FALSE(directory.IsNewest(taken));
  directory.Put(taken);
  CHECK(directory.IsNewest(taken));
  Claim ended = taken;
  ended.state = JobState::kEnded;
  ended.version = 21;
  directory.Put(ended);
  CHECK_FALSE(directory.IsNewest(taken));
}

TEST_CASE("a removal that is older than the claim does not remove it") {
  JobDirectory directory;
  Claim claim;
  claim.job = "a";
  claim.version = 20;
  directory.Put(claim);
  CHECK_FALSE(directory.Remove("a", 19));
  CHECK(directory.Find("a") != nullptr);
  CHECK(directory.Remove("a", 21));
  CHECK(directory.Find("a") == nullptr);
}

}  // namespace
}  // namespace lentilhead::jobs
