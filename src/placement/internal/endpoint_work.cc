#include "placement/endpoint_work.h"

#include <algorithm>

namespace lentilhead::placement {

namespace {

using std::chrono::milliseconds;

// The slowdown of an engine changes about every 600 ms.
constexpr milliseconds kSlowdownLifetime{600};
// A sample says something of the usual time only together with a slowdown as fresh as this.
constexpr milliseconds kFreshSlowdown{120};
constexpr double kUsualWeight = 0.1;  // of the newest sample
constexpr int kEnoughSamples = 6;     // then the samples of peers count no more
// Slowdowns count in the mean by the time for which they held. If each report counted alike, a busy
// endpoint, which reports often, would be taken as slow for long after one slow period.
constexpr std::chrono::duration<double> kMeanSlowdownSpan{6};
constexpr double kSeenSlowdownWeight = 0.5;  // of a slowdown that is inferred from one sample
constexpr double kMinSlowdown = 0.1;
constexpr double kMaxSlowdown = 10;
constexpr double kMaxRatio = 4;  // limits what one sample changes
// Part of the difference between the high and the expected length that is left of a request which
// has passed its expected length.
constexpr double kOverdueShare = 0.25;

}  // namespace

double EndpointWork::LeftOf(const Request& request) {
  const double overdue = kOverdueShare * std::max(request.units_high - request.units, request.done);
  return request.done < request.units ? request.units - request.done : std::max(1.0, overdue);
}

void EndpointWork::Sum() {
  this->own_left = 0;
  this->own_memory = 0;
  for (const Request& request : this->requests) {
    this->own_left += LeftOf(request);
    this->own_memory += request.memory;
  }
}

EndpointWork::RequestId EndpointWork::Begin(const RequestCost& cost) {
  this->requests.push_back({++this->last_id, cost.units, cost.units_high, 0, cost.memory_tokens});
  this->Sum();
  return this->last_id;
}

void EndpointWork::Advance(RequestId id, double units) {
  const auto found = std::find_if(this->requests.begin(), this->requests.end(),
                                  [&](const Request& request) { return request.id == id; });
  if (found != this->requests.end()) {
    this->own_left -= LeftOf(*found);
    found->done = units;
    this->own_left += LeftOf(*found);
  }
}

void EndpointWork::End(RequestId id) {
  std::erase_if(this->requests, [&](const Request& request) { return request.id == id; });
  this->Sum();
}

PeerWork EndpointWork::ForPeers(net::SteadyTime now) const {
  PeerWork work{this->own_left, this->own_memory,
                this->samples >= kEnoughSamples ? this->usual_ms : 0};
  if (this->reported_at && now - *this->reported_at < kSlowdownLifetime) {
    work.slowdown = this->slowdown;
    work.slowdown_age = net::ToMilliseconds(now - this->slowdown_at);
  }
  return work;
}

void EndpointWork::AddPeer(const PeerWork& work, int sign) {
  this->peer_left = std::max(0.0, this->peer_left + sign * work.units);
  this->peer_memory = std::max(0.0, this->peer_memory + sign * work.memory_tokens);
}

void EndpointWork::LearnFromPeer(const PeerWork& work, net::SteadyTime now) {
  if (work.unit_ms > 0) {
    this->peers_usual_ms =
        this->peers_usual_ms == 0
            ? work.unit_ms
            : this->peers_usual_ms + kUsualWeight * (work.unit_ms - this->peers_usual_ms);
  }
  if (work.slowdown && now - work.slowdown_age > this->slowdown_at) {
    this->SetSlowdown(*work.slowdown, now - work.slowdown_age);
  }
}

void EndpointWork::RecordSlowdown(double reported, net::SteadyTime measured_at) {
  this->SetSlowdown(reported, measured_at);
  this->reported_at = measured_at;
}

void EndpointWork::SetSlowdown(double reported, net::SteadyTime measured_at) {
  // How long the first slowdown has held is not known.
  const auto since = this->slowdown_at == net::SteadyTime{} ? net::SteadyTime::duration{}
                                                            : measured_at - this->slowdown_at;
  const auto span =
      std::clamp<net::SteadyTime::duration>(since, milliseconds(0), kSlowdownLifetime);
  this->slowdown = std::clamp(reported, kMinSlowdown, kMaxSlowdown);
  this->slowdown_at = measured_at;
  this->mean_slowdown += span / kMeanSlowdownSpan * (this->slowdown - this->mean_slowdown);
}

void EndpointWork::RecordUnit(std::chrono::duration<double, std::milli> span, ServicePace& pace,
                              net::SteadyTime now) {
  const double sample = std::max(0.01, span.count());
  if (this->reported_at && now - *this->reported_at < kFreshSlowdown) {
    const double usual = sample / this->slowdown;
    pace.RecordUnit(std::chrono::duration<double, std::milli>(usual));
    this->usual_ms = this->samples == 0
                         ? usual
                         : this->usual_ms + std::max(kUsualWeight, 1.0 / (1 + this->samples)) *
                                                (std::clamp(usual, this->usual_ms / kMaxRatio,
                                                            this->usual_ms * kMaxRatio) -
                                                 this->usual_ms);
    ++this->samples;
    return;
  }
  const double seen = std::clamp(sample / this->UsualUnitMs(pace), kMinSlowdown, kMaxSlowdown);
  this->slowdown += kSeenSlowdownWeight * (seen - this->slowdown);
  this->slowdown_at = now;
}

double EndpointWork::Slowdown(net::SteadyTime now) const {
  const std::chrono::duration<double> age = now - this->slowdown_at;
  const double weight = std::clamp(1 - age / kSlowdownLifetime, 0.0, 1.0);
  return this->mean_slowdown + weight * (this->slowdown - this->mean_slowdown);
}

double EndpointWork::UsualUnitMs(const ServicePace& pace) const {
  if (this->samples >= kEnoughSamples) {
    return this->usual_ms;
  }
  if (this->peers_usual_ms > 0) {
    return this->peers_usual_ms;
  }
  return this->samples > 0 ? this->usual_ms : pace.UnitMs();
}

}  // namespace lentilhead::placement
