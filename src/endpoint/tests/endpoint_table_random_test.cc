#include <doctest/doctest.h>

#include <map>
#include <random>

#include "endpoint/internal/endpoint_table.h"
#include "endpoint/tests/table_fixture.h"

namespace lentilhead::endpoint::internal {

namespace {

using datastore::ListedState;
using std::chrono::milliseconds;

constexpr int kSteps = 120'000;
constexpr int kMaxEndpoints = 14;
constexpr int kSubsetSize = 6;

/// State of one endpoint that follows from the events passed to the table.
struct ExpectedState {
  bool listed = false;
  bool leaving = false;
  bool drained = false;
  bool reported_draining = false;
  int in_flight = 0;

  [[nodiscard]] bool TakesWork() const {
    return this->listed && !this->leaving && !this->drained && !this->reported_draining;
  }
};

/// Passes random events to the table and checks every choice against the expected states.
class RandomRun {
 public:
  RandomRun(std::uint64_t seed, const std::string& policy)
      : settings(Settings(policy)),
        table(this->settings, "instance", "zone-a", seed),
        random(seed) {}

  void Step() {
    this->now += milliseconds(this->random() % 50);
    switch (this->random() % 16) {
      case 0:
        return this->ReadList();
      case 1:
        return this->Drain();
      case 2:
      case 3:
        return this->Report();
      case 4:
        return this->table.OnReportFailed(this->RandomName(), At(this->now));
      case 5:
      case 6:
      case 7:
      case 8:
        return this->EndAttempt();
      default:
        return this->Choose();
    }
  }

  void CheckInvariants() {
    const auto listed = this->table.EndpointsOf(kService).size();
    const int ejected = this->table.EjectedOf(kService);
    REQUIRE(ejected <= this->settings.max_ejected_share * static_cast<double>(listed));
    for (const auto& [name, state] : this->expected) {
      const EndpointRecord* record = this->table.Find(name);
      REQUIRE((record != nullptr || !state.listed));
      if (record != nullptr) {
        REQUIRE(record->load.InFlight() == state.in_flight);
        REQUIRE(record->load.Requests() >= state.in_flight);
      }
      if (!state.TakesWork()) {
        REQUIRE_FALSE(this->table.CanSend(name, At(this->now)));
      }
    }
  }

  int choices = 0;
  int empty_choices = 0;
  int ejected_choices = 0;

 private:
  static EndpointSettings Settings(const std::string& policy) {
    EndpointSettings settings = TableSettings(policy);
    settings.subset_size = kSubsetSize;
    settings.ejection_time = milliseconds(500);
    return settings;
  }

  std::string RandomName() { return "e" + std::to_string(this->random() % kMaxEndpoints); }

  void ReadList() {
    std::vector<datastore::ListedInstance> listed;
    for (int number = 0; number < kMaxEndpoints; ++number) {
      ExpectedState& state = this->expected["e" + std::to_string(number)];
      state.listed = this->random() % 8 != 0;
      state.leaving = state.listed && this->random() % 8 == 0;
      if (state.listed) {
        listed.push_back(
            Listed(number, state.leaving ? ListedState::kLeaving : ListedState::kLive));
      }
    }
    this->table.OnList(kService, listed);
    for (auto& [name, state] : this->expected) {
      const EndpointRecord* record = this->table.Find(name);
      state.reported_draining =
          record != nullptr && record->load.Report() && record->load.Report()->draining;
    }
  }

  void Drain() {
    const std::string chosen = this->RandomName();
    this->expected[chosen].drained = !this->expected[chosen].drained;
    std::set<std::string> drained;
    for (const auto& [name, state] : this->expected) {
      if (state.drained) {
        drained.insert(name);
      }
    }
    this->table.SetDrained(drained);
  }

  void Report() {
    const std::string name = this->RandomName();
    LoadReport report = ReportOf("1", static_cast<int>(this->random() % 12));
    report.draining = this->random() % 8 == 0;
    if (this->table.Find(name) != nullptr) {
      this->expected[name].reported_draining = report.draining;
    }
    this->table.OnReport(name, report, At(this->now));
  }

  void EndAttempt() {
    const std::string name = this->RandomName();
    ExpectedState& state = this->expected[name];
    const auto end = static_cast<AttemptEnd>(this->random() % 5);
    // This also ends attempts that were never started, which the table must ignore.
    this->table.OnAttemptEnded(name, end, At(this->now));
    state.in_flight -= state.in_flight > 0 ? 1 : 0;
  }

  void Choose() {
    RouteRequest request = Request();
    request.prefix_hash = this->random() % 4;
    while (this->random() % 2 == 0) {
      request.excluded.insert(this->RandomName());
    }
    const auto chosen = this->table.Choose(request, At(this->now));
    this->choices += 1;
    if (!chosen) {
      this->empty_choices += 1;
      this->RequireNoEligibleEndpoint(request);
      return;
    }
    REQUIRE_FALSE(request.excluded.contains(chosen->name));
    REQUIRE(this->expected[chosen->name].TakesWork());
    REQUIRE(this->table.CanSend(chosen->name, request, At(this->now)));
    const EndpointRecord* record = this->table.Find(chosen->name);
    if (!record->health.Admits(At(this->now))) {
      this->ejected_choices += 1;
      this->RequireNoHealthyEndpoint(request);
    }
    this->table.OnAttemptStarted(chosen->name, At(this->now));
    this->expected[chosen->name].in_flight += 1;
  }

  void RequireNoEligibleEndpoint(const RouteRequest& request) {
    for (const auto& [name, state] : this->expected) {
      if (state.TakesWork() && !request.excluded.contains(name)) {
        REQUIRE_FALSE(this->table.CanSend(name, request, At(this->now)));
      }
    }
  }

  void RequireNoHealthyEndpoint(const RouteRequest& request) {
    for (const auto& [name, state] : this->expected) {
      const EndpointRecord* record = this->table.Find(name);
      if (record != nullptr && !request.excluded.contains(name) && !record->health.IsEjected()) {
        REQUIRE_FALSE(this->table.CanSend(name, request, At(this->now)));
      }
    }
  }

  EndpointSettings settings;
  EndpointTable table;
  std::mt19937_64 random;
  milliseconds now{1'000};
  std::map<std::string, ExpectedState> expected;
};

}  // namespace

TEST_CASE("random events never lead to the choice of an endpoint that takes no new work") {
  for (const char* policy :
       {"bounded_turns", "two_choices", "round_robin", "least_reported_load"}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      RandomRun run(seed, policy);
      for (int step = 0; step < kSteps; ++step) {
        run.Step();
        run.CheckInvariants();
      }
      CAPTURE(policy);
      CHECK(run.choices > kSteps / 4);
      CHECK(run.empty_choices > 0);
      CHECK(run.ejected_choices > 0);
    }
  }
}

}  // namespace lentilhead::endpoint::internal
