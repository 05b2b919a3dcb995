#include "apps/node/node_program.h"
#include "jobs/internal/job_rows.h"
#include "platform/tables.h"

namespace lentilhead::node {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConfigPause{100};
constexpr milliseconds kEndpointPause{400};  // heartbeats change the table constantly
constexpr milliseconds kNodePause{900};
constexpr milliseconds kNodeWait{3000};  // nodes join and leave rarely
constexpr milliseconds kClaimPause{250};
constexpr milliseconds kLargeFleetClaimPause{500};

}  // namespace

rowstore::TableFollower NodeProgram::MakeConfigFollower() {
  const auto adopt = [this](const std::vector<rowstore::Row>& rows, rowstore::Version) {
    for (const rowstore::Row& row : rows) {
      if (row.key.key == platform::kConfigKey && !row.removed) {
        this->view.AdoptConfig(row.value, "store");
      }
    }
  };
  return {this->executor, this->store, {platform::kConfigTable, {""}, kConfigPause}, adopt, adopt};
}

rowstore::TableFollower NodeProgram::MakeEndpointFollower() {
  return {this->executor,
          this->store,
          {platform::kEndpointTable, {""}, kEndpointPause},
          [this](const std::vector<rowstore::Row>& rows, rowstore::Version version) {
            this->view.ReplaceEndpoints(rows, version, this->removal_grace.UsableUntil(net::Now()),
                                        "store");
          },
          [this](const std::vector<rowstore::Row>& rows, rowstore::Version version) {
            this->view.ChangeEndpoints(rows, version, this->removal_grace.UsableUntil(net::Now()));
          }};
}

void NodeProgram::SetClaimPause(bool has_several_groups) {
  this->claim_follower.SetPause(has_several_groups ? kLargeFleetClaimPause : kClaimPause);
}

rowstore::TableFollower NodeProgram::MakeNodeFollower() {
  const auto note = [this](const std::vector<rowstore::Row>& rows, rowstore::Version) {
    this->presence.Note(rows);
  };
  return {this->executor,
          this->store,
          {peers::NodePresence::kTable, {""}, kNodePause, kNodeWait},
          note,
          note};
}

rowstore::TableFollower NodeProgram::MakeClaimFollower() {
  return {this->executor,
          this->store,
          {jobs::internal::kClaimTable, jobs::internal::JobParts(), kClaimPause},
          [this](const std::vector<rowstore::Row>& rows, rowstore::Version version) {
            this->job_service.ReplaceClaims(rows, version);
          },
          [this](const std::vector<rowstore::Row>& rows, rowstore::Version version) {
            this->job_service.ChangeClaims(rows, version);
          }};
}

}  // namespace lentilhead::node
