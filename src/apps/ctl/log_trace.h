#pragma once

#include <string>
#include <vector>

namespace lentilhead::apps::ctl {

/// Log lines about one request, job or item, collected from the logs of several nodes.
class LogTrace {
 public:
  /// @param id id of a request, job or item; selects the lines in which it is the value of a key.
  explicit LogTrace(std::string id) : id(std::move(id)) {}

  /// Adds the log of a node. @param node name shown with its lines. @param text content of the log.
  void AddLog(const std::string& node, const std::string& text);

  /// Returns the lines in order of time, each with its node and the seconds since the first line.
  [[nodiscard]] std::vector<std::string> Render() const;

 private:
  struct Line {
    double seconds = 0;  ///< time in the line, by the clock of its node
    std::string node;
    std::string text;
  };

  std::string id;
  std::vector<Line> lines;
};

}  // namespace lentilhead::apps::ctl
