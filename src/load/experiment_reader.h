#pragma once

#include <string>

#include "framework/result.h"
#include "framework/settings_reader.h"
#include "load/types/experiment.h"

namespace lentilhead::load {

/// Reads an experiment from a TOML file.
/// @return the experiment, or framework::SettingsProblems with every problem.
framework::Result<Experiment> ReadExperiment(framework::SettingsReader& reader);

}  // namespace lentilhead::load
