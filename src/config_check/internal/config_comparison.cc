#include "config_check/config_comparison.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lentilhead::config_check {

namespace {

using std::chrono::milliseconds;
/// Values of an entry by their names, as texts.
using Values = std::map<std::string, std::string>;
/// All entries of a configuration, by place.
using Entries = std::map<std::string, Values>;

std::string Text(milliseconds span) { return std::to_string(span.count()) + " ms"; }

/// Returns the shortest text that tells a number from all others.
std::string Text(double number) {
  std::array<char, 32> text{};
  const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() ? std::string(text.data(), end) : std::string();
}

std::string Text(bool flag) { return flag ? "yes" : "no"; }

std::string PlaceOf(const std::string& entry, std::string_view value) {
  std::string place = entry;
  place.append(": ").append(value);
  return place;
}

std::string KindName(gateway::RouteKind kind) {
  switch (kind) {
    case gateway::RouteKind::kIdempotent:
      return "idempotent";
    case gateway::RouteKind::kNonIdempotent:
      return "non-idempotent";
    case gateway::RouteKind::kStream:
      return "stream";
    case gateway::RouteKind::kBatch:
      return "batch";
  }
  return "";
}

Values ValuesOf(const gateway::Route& route) {
  std::string services;
  for (const gateway::ServiceShare& share : route.services) {
    services += (services.empty() ? "" : ", ") + share.service + " " + Text(share.weight);
  }
  return {{"name", route.name.empty() ? "none" : route.name},
          {"kind", KindName(route.kind)},
          {"services", services.empty() ? "none" : services},
          {"time-out", route.timeout ? Text(*route.timeout) : "none"},
          {"latency objective", Text(route.target_latency)},
          {"objective between events", route.event_gap ? Text(*route.event_gap) : "none"},
          {"attempts", std::to_string(route.max_attempts)},
          {"priority", std::to_string(route.priority)},
          {"resumable", Text(route.resumable)},
          {"anonymous", Text(route.anonymous)},
          {"results due", Text(route.results_due)},
          {"given up after", Text(route.give_up_after)},
          {"token limit", std::to_string(route.max_waiting_tokens)}};
}

Values ValuesOf(const customers::Customer& customer) {
  return {{"priority", customer.priority ? std::to_string(*customer.priority) : "none"},
          {"rate", Text(customer.requests_per_second)},
          {"burst", Text(customer.burst)}};
}

Values ValuesOf(const gateway::CallerLimits& limits) {
  return {{"header bytes", std::to_string(limits.header_bytes)},
          {"body bytes", std::to_string(limits.body_bytes)},
          {"header time-out", Text(limits.header_timeout)},
          {"idle time-out", Text(limits.idle_timeout)}};
}

/// Returns the entries of a configuration. The first of two with the same place counts, as it does
/// for nodes.
Entries EntriesOf(const ConfigDocument& document) {
  Entries entries;
  for (const gateway::Route& route : document.config.routes) {
    entries.try_emplace("route " + route.Key(), ValuesOf(route));
  }
  for (const std::string& service : document.services) {
    if (service.empty()) {
      continue;
    }
    const auto memory = static_cast<std::int64_t>(document.config.EndpointMemory(service));
    entries.try_emplace("service " + service, Values{{"memory in tokens", std::to_string(memory)}});
  }
  for (const CustomerEntry& entry : document.customers) {
    if (!entry.customer.name.empty()) {
      entries.try_emplace("customer " + entry.customer.name, ValuesOf(entry.customer));
    }
  }
  entries.try_emplace("limits", ValuesOf(document.config.limits));
  return entries;
}

std::map<std::string, std::vector<std::string>> KeysOf(const ConfigDocument& document) {
  std::map<std::string, std::vector<std::string>> keys;
  for (const CustomerEntry& entry : document.customers) {
    std::vector<std::string> sorted = entry.api_keys;
    std::sort(sorted.begin(), sorted.end());
    sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
    keys.try_emplace("customer " + entry.customer.name, std::move(sorted));
  }
  return keys;
}

std::size_t CountMissing(const std::vector<std::string>& keys,
                         const std::vector<std::string>& others) {
  return static_cast<std::size_t>(
      std::count_if(keys.begin(), keys.end(), [&](const std::string& key) {
        return !std::binary_search(others.begin(), others.end(), key);
      }));
}

void AddKeyChanges(const ConfigDocument& in_force, const ConfigDocument& next,
                   std::vector<ConfigChange>& changes) {
  const auto before = KeysOf(in_force);
  for (const auto& [place, keys] : KeysOf(next)) {
    const auto known = before.find(place);
    if (known == before.end()) {
      continue;
    }
    const std::size_t added = CountMissing(keys, known->second);
    const std::size_t removed = CountMissing(known->second, keys);
    if (added + removed > 0) {
      changes.push_back({PlaceOf(place, "API keys"), std::to_string(removed) + " removed",
                         std::to_string(added) + " added"});
    }
  }
}

}  // namespace

std::vector<ConfigChange> ConfigComparison::Changes(const ConfigDocument& in_force,
                                                    const ConfigDocument& next) {
  std::vector<ConfigChange> changes;
  const Entries before = EntriesOf(in_force);
  const Entries after = EntriesOf(next);
  for (const auto& [place, values] : before) {
    if (!after.contains(place)) {
      changes.push_back({place, "listed", ""});
    }
  }
  for (const auto& [place, values] : after) {
    const auto known = before.find(place);
    if (known == before.end()) {
      changes.push_back({place, "", "listed"});
      continue;
    }
    for (const auto& [name, value] : values) {
      if (const std::string& old = known->second.at(name); old != value) {
        changes.push_back({PlaceOf(place, name), old, value});
      }
    }
  }
  AddKeyChanges(in_force, next, changes);
  return changes;
}

std::vector<Finding> ConfigComparison::Check(const ConfigDocument& in_force,
                                             const ConfigDocument& next) {
  if (next.config.version > in_force.config.version) {
    return {};
  }
  return {{Finding::Kind::kError, "version",
           "version " + std::to_string(next.config.version) + " is not newer than " +
               std::to_string(in_force.config.version) + ", so nodes ignore it"}};
}

}  // namespace lentilhead::config_check
