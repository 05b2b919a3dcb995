#include "load/internal/counter_reader.h"

#include <cstdlib>
#include <string_view>
#include <utility>

namespace lentilhead::load::internal {

namespace {

bool IsReportedCounter(std::string_view line) {
  return line.find("refus") != std::string_view::npos ||
         line.find("retr") != std::string_view::npos ||
         line.find("outcome") != std::string_view::npos;
}

void AddCounters(std::string_view text, std::map<std::string, double>& counters) {
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string line(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    const std::size_t space = line.rfind(' ');
    if (line.empty() || line.front() == '#' || space == std::string::npos ||
        !IsReportedCounter(line)) {
      continue;
    }
    const double value = std::strtod(line.c_str() + space, nullptr);
    if (value > 0) {
      counters[line.substr(0, space)] += value;
    }
  }
}

}  // namespace

CounterReader::CounterReader(std::vector<std::string> operator_urls, framework::HttpClient& http)
    : operator_urls(std::move(operator_urls)), http(http) {}

std::map<std::string, double> CounterReader::Read() {
  std::map<std::string, double> counters;
  std::vector<framework::HttpCall> calls;
  std::size_t open = this->operator_urls.size();
  for (const std::string& url : this->operator_urls) {
    framework::HttpRequest request;
    request.url = url + "/metrics";
    calls.push_back(this->http.Send(std::move(request), [&](const auto& reply) {
      open -= 1;
      if (reply && reply.Value().head.status == 200) {
        AddCounters(reply.Value().body, counters);
      }
    }));
  }
  while (open > 0) {
    g_main_context_iteration(nullptr, TRUE);
  }
  return counters;
}

}  // namespace lentilhead::load::internal
