#pragma once

#include "framework/metrics.h"

namespace lentilhead::node {

/// Sets the help texts of a node's metrics.
void DescribeMetrics(framework::Metrics& metrics);

}  // namespace lentilhead::node
