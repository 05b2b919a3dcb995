#include "apps/ctl/log_trace.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <string_view>

namespace lentilhead::apps::ctl {

namespace {

constexpr std::string_view kTimeKey = "time=";

/// Tells whether a line has a word KEY=ID, with the id as the complete value.
bool HasValue(const std::string& line, const std::string& id) {
  for (std::size_t start = line.find(id); start != std::string::npos;
       start = line.find(id, start + 1)) {
    const std::size_t end = start + id.size();
    const bool begins = start > 0 && line[start - 1] == '=';
    const bool ends = end == line.size() || line[end] == ' ';
    if (begins && ends) {
      return true;
    }
  }
  return false;
}

}  // namespace

void LogTrace::AddLog(const std::string& node, const std::string& text) {
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    const std::size_t time = line.find(kTimeKey);
    if (time == std::string::npos || !HasValue(line, this->id)) {
      continue;
    }
    const double seconds = std::strtod(line.c_str() + time + kTimeKey.size(), nullptr);
    this->lines.push_back({seconds, node, line.substr(line.find(' ', time) + 1)});
  }
}

std::vector<std::string> LogTrace::Render() const {
  std::vector<Line> sorted = this->lines;
  std::stable_sort(sorted.begin(), sorted.end(), [](const Line& left, const Line& right) {
    return left.seconds < right.seconds;
  });
  std::vector<std::string> rendered;
  rendered.reserve(sorted.size());
  for (const Line& line : sorted) {
    std::array<char, 32> since{};
    std::snprintf(since.data(), since.size(), "%+10.3f ", line.seconds - sorted.front().seconds);
    rendered.push_back(since.data() + line.node + " " + line.text);
  }
  return rendered;
}

}  // namespace lentilhead::apps::ctl
