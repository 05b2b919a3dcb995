#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "datastore/platform_settings.h"
#include "framework/settings_reader.h"

namespace {

using lentilhead::datastore::PlatformSettings;
using lentilhead::framework::Describe;
using lentilhead::framework::Result;
using lentilhead::framework::SettingsProblem;
using lentilhead::framework::SettingsProblems;
using lentilhead::framework::SettingsReader;

void Require(bool condition) {
  if (!condition) {
    std::abort();
  }
}

void ReadEverything(SettingsReader& reader) {
  const PlatformSettings settings = PlatformSettings::Read(reader);
  Require(settings.writes_per_second > 0);
  Require(settings.request_timeout.count() > 0);
  const std::size_t count = reader.TableCount("service");
  for (std::size_t index = 0; index < count; ++index) {
    reader.Choice("service[" + std::to_string(index) + "].kind", "model", {"model", "plain"});
  }
  reader.Strings("names");
  reader.Boolean("flag", true);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  SettingsReader reader(std::string(reinterpret_cast<const char*>(data), size), "fuzz.toml");
  ReadEverything(reader);
  boost::leaf::try_handle_all([&]() -> Result<void> { return reader.Finish(); },
                              [](const SettingsProblems& found) {
                                Require(!found.problems.empty());
                                for (const SettingsProblem& problem : found.problems) {
                                  Require(!Describe(problem).empty());
                                }
                              },
                              [] { std::abort(); });
  return 0;
}
