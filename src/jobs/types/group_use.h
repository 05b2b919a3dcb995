#pragma once

namespace lentilhead::jobs {

/// Use of the slots of a service in a node's group, as the node knows it at one moment.
struct GroupUse {
  int slots = 0;      ///< of usable endpoints
  int endpoints = 0;  ///< that have these slots
  int online = 0;     ///< online requests in flight, of all nodes
  int batch = 0;      ///< batch requests in flight, of all nodes
};

}  // namespace lentilhead::jobs
