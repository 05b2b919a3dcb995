#pragma once

#include <map>
#include <string>

namespace lentilhead::framework {

/// Label names and values of one metric.
using MetricLabels = std::map<std::string, std::string>;

}  // namespace lentilhead::framework
