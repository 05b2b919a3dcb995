#pragma once

#include <map>
#include <string>
#include <vector>

#include "framework/http_client.h"

namespace lentilhead::load::internal {

/// Reads the counters of refusals, retries and outcomes from a fleet's operator listeners.
class CounterReader {
 public:
  CounterReader(std::vector<std::string> operator_urls, framework::HttpClient& http);

  /// Reads `/metrics` of every instance and sums the counters above zero. Iterates the default
  /// main context until every request has been answered or has failed.
  std::map<std::string, double> Read();

 private:
  std::vector<std::string> operator_urls;
  framework::HttpClient& http;
};

}  // namespace lentilhead::load::internal
