#include "endpoint/endpoint_settings.h"

#include <doctest/doctest.h>

namespace lentilhead::endpoint {

namespace {

std::vector<framework::SettingsProblem> ProblemsOf(framework::SettingsReader& reader) {
  return boost::leaf::try_handle_all(
      [&]() -> framework::Result<std::vector<framework::SettingsProblem>> {
        BOOST_LEAF_CHECK(reader.Finish());
        return std::vector<framework::SettingsProblem>{};
      },
      [](const framework::SettingsProblems& found) { return found.problems; },
      [] { return std::vector<framework::SettingsProblem>{}; });
}

}  // namespace

TEST_CASE("services and their non-repeatable calls are read") {
  framework::SettingsReader reader(
      "[routing]\npolicy = \"round_robin\"\nsubset_size = 4\n"
      "[[service]]\nname = \"profiles\"\nslots = 16\n"
      "[[service]]\nname = \"listing\"\nkind = \"plain\"\n"
      "non_repeatable = [\"POST /promise\", \"PUT /stages/\"]\n",
      "test.toml");
  const EndpointSettings settings = EndpointSettings::Read(reader);
  CHECK(ProblemsOf(reader).empty());
  CHECK(settings.policy == "round_robin");
  CHECK(settings.FindService("profiles")->slots == 16);
  CHECK(settings.FindService("profiles")->resumable);
  const ServiceSettings* listing = settings.FindService("listing");
  REQUIRE(listing != nullptr);
  CHECK_FALSE(listing->resumable);
  CHECK(listing->IsNonRepeatable("POST", "/promise"));
  CHECK_FALSE(listing->IsNonRepeatable("GET", "/promise"));
  CHECK_FALSE(listing->IsNonRepeatable("POST", "/promise/1"));
  CHECK(listing->IsNonRepeatable("PUT", "/stages/7"));
  CHECK(settings.FindService("other") == nullptr);
}

TEST_CASE("every problem in the settings is reported with its key") {
  framework::SettingsReader reader(
      "[routing]\npolicy = \"fastest\"\nsubset_size = 1\nmax_ejected_share = 2.0\n"
      "[[service]]\nname = \"a b\"\nslots = 0\n"
      "[[service]]\nname = \"c\"\nnon_repeatable = [\"promise\"]\n"
      "[[service]]\nname = \"c\"\nkind = \"plain\"\nresumable = true\n",
      "test.toml");
  EndpointSettings::Read(reader);
  std::vector<std::string> keys;
  for (const framework::SettingsProblem& problem : ProblemsOf(reader)) {
    keys.push_back(problem.key);
  }
  CHECK(keys == std::vector<std::string>{"service[0].name", "service[0].slots",
                                         "service[1].non_repeatable", "service[2].resumable",
                                         "service[2].name", "routing.policy", "routing.subset_size",
                                         "routing.max_ejected_share"});
}

TEST_CASE("a settings file without services is rejected") {
  framework::SettingsReader reader("", "test.toml");
  EndpointSettings::Read(reader);
  const auto problems = ProblemsOf(reader);
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].key == "service");
}

}  // namespace lentilhead::endpoint
