#pragma once

namespace lentilhead::admission {

/// What a customer uses of a service and may use at present.
struct CustomerShare {
  double use = 0;        ///< slots of all nodes of the group
  double level = 0;      ///< slots that one customer may use over the group: the max-min fair level
  int own = 0;           ///< slots of this node
  double own_limit = 0;  ///< slots that this node may use for the customer, if it is at its level
};

}  // namespace lentilhead::admission
