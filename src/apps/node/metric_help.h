#pragma once

#include "framework/metrics.h"

namespace lentilhead::node {

/// Sets the help texts of the metrics of a node.
void DescribeMetrics(framework::Metrics& metrics);

}  // namespace lentilhead::node
