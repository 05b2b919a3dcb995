#include "control/internal/assignment.h"

#include <doctest/doctest.h>

namespace lentilhead::control::internal {

namespace {

using std::chrono::minutes;

std::vector<ManagedEndpoint> EndpointsInZones(int count, int zones) {
  std::vector<ManagedEndpoint> endpoints;
  endpoints.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    endpoints.push_back({"endpoint-" + std::to_string(index), "s", "",
                         "zone-" + std::to_string(index % zones), true});
  }
  return endpoints;
}

sheet::SheetRow Row(const std::string& version, int capacity) {
  sheet::SheetRow row;
  row.service = "s";
  row.model = "m";
  row.version = version;
  row.capacity = capacity;
  return row;
}

}  // namespace

TEST_CASE("a row's capacity is spread evenly and over the row's zones only") {
  const auto endpoints = EndpointsInZones(12, 4);
  const sheet::SheetRow row = Row("1", 8);
  std::map<std::string, int> zones;
  for (const auto& [name, wanted] : Assign({&row}, endpoints)) {
    zones["zone-" + std::to_string(std::stoi(name.substr(9)) % 4)] += 1;
  }
  CHECK(zones ==
        std::map<std::string, int>{{"zone-0", 2}, {"zone-1", 2}, {"zone-2", 2}, {"zone-3", 2}});
  sheet::SheetRow single_zone = Row("1", 8);
  single_zone.zones = {"zone-1"};
  CHECK(Assign({&single_zone}, endpoints).size() == 3);
}

TEST_CASE("a new version stays on the same endpoints and a lost endpoint moves at most one") {
  auto endpoints = EndpointsInZones(40, 4);
  const sheet::SheetRow old_row = Row("1", 20);
  const sheet::SheetRow new_row = Row("2", 20);
  const auto before = Assign({&old_row}, endpoints);
  const auto after = Assign({&new_row}, endpoints);
  for (const auto& [name, wanted] : before) {
    CHECK(after.contains(name));
  }
  endpoints.erase(endpoints.begin() + 3);
  int moved = 0;
  for (const auto& [name, wanted] : Assign({&old_row}, endpoints)) {
    moved += before.contains(name) ? 0 : 1;
  }
  CHECK(moved <= 1);
}

TEST_CASE("a row is served during its window and prepared for within the lead time") {
  CHECK(IsActive({minutes(600), minutes(660)}, minutes(600)));
  CHECK_FALSE(IsActive({minutes(600), minutes(660)}, minutes(660)));
  CHECK(IsActive({minutes(1'380), minutes(60)}, minutes(30)));
  sheet::Sheet sheet;
  sheet.rows = {Row("1", 1)};
  sheet.rows[0].window = {minutes(600), minutes(660)};
  CHECK(RowsToServe(sheet, minutes(580), minutes(15)).empty());
  CHECK(RowsToServe(sheet, minutes(590), minutes(15)).size() == 1);
  CHECK(RowsToServe(sheet, minutes(610), minutes(15)).size() == 1);
  CHECK(RowsToServe(sheet, minutes(660), minutes(15)).empty());
}

}  // namespace lentilhead::control::internal
