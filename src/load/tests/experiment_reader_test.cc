#include "load/experiment_reader.h"

#include <doctest/doctest.h>

namespace lentilhead::load {

TEST_CASE("every section of an experiment is read") {
  framework::SettingsReader reader(
      "[experiment]\nname = \"x\"\n[[phase]]\nname = \"a\"\nduration_ms = 5\n"
      "[[online]]\nname = \"o\"\nmodel = \"m\"\nrate = 2.0\n"
      "[[job]]\nname = \"j\"\nphase = \"a\"\nservice = \"s\"\nmodel = \"m\"\nitems = 3\n"
      "[[fault]]\nphase = \"a\"\nprocess = \"p\"\nsignal = \"KILL\"\n",
      "test.toml");
  const framework::Result<Experiment> experiment = ReadExperiment(reader);
  REQUIRE(experiment);
  CHECK(experiment->workloads.size() == 1);
  CHECK(experiment->jobs[0].items == 3);
  CHECK(std::get<SignalFault>(experiment->faults[0].fault).process == "p");
}

TEST_CASE("every problem of an experiment is reported") {
  framework::SettingsReader reader(
      "[experiment]\nnam = \"x\"\n[[phase]]\nname = \"a\"\n"
      "[[job]]\nname = \"j\"\nphase = \"b\"\nservice = \"s\"\nmodel = \"m\"\nitems = 0\n",
      "test.toml");
  const std::size_t problems = boost::leaf::try_handle_all(
      [&]() -> framework::Result<std::size_t> {
        BOOST_LEAF_CHECK(ReadExperiment(reader));
        return 0;
      },
      [](const framework::SettingsProblems& found) { return found.problems.size(); },
      [] { return std::size_t{0}; });
  CHECK(problems == 4);
}

}  // namespace lentilhead::load
