#include "peers/lapse_grace.h"

#include <algorithm>

namespace lentilhead::peers {

namespace {

constexpr std::chrono::milliseconds kGrace{2300};  // entries are back two seconds after the store

}  // namespace

void LapseGrace::Note(bool served, bool peer_served, net::SteadyTime now) {
  if (!served && !peer_served) {
    this->last_outage = now;
  }
}

net::SteadyTime LapseGrace::KeepUntil(net::SteadyTime now) const {
  return std::max(now, this->last_outage + kGrace);
}

}  // namespace lentilhead::peers
