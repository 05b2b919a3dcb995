#include "jobs/new_job_placement.h"

#include <doctest/doctest.h>

namespace lentilhead::jobs {
namespace {

TEST_CASE("a node with waiting items leaves a new job to another group") {
  CHECK(NewJobPlacement::RunsHere(0, 56, 16, 18));
  CHECK(NewJobPlacement::RunsHere(6, 56, 16, 18));
  CHECK_FALSE(NewJobPlacement::RunsHere(7, 56, 16, 18));
  CHECK_FALSE(NewJobPlacement::RunsHere(0, 0, 16, 18));
}

TEST_CASE("a fleet of one group keeps every job") {
  CHECK(NewJobPlacement::RunsHere(1000, 56, 16, 1));
}

}  // namespace
}  // namespace lentilhead::jobs
