#pragma once

#include <string>
#include <vector>

namespace lentilhead::apps::ctl {

/// Lines of one request, job or item, gathered from the logs of several nodes.
class LogTrace {
 public:
  /// @param id id of a request, job or item; a line that has it as the whole value of a key is
  /// kept.
  explicit LogTrace(std::string id) : id(std::move(id)) {}

  /// Adds the log of a node. @param node name that its lines are shown with.
  void AddLog(const std::string& node, const std::string& text);

  /// The lines in the order of their times, each with its node and the time since the first.
  [[nodiscard]] std::vector<std::string> Render() const;

 private:
  struct Line {
    double seconds = 0;  ///< time of day of the node that wrote it
    std::string node;
    std::string text;
  };

  std::string id;
  std::vector<Line> lines;
};

}  // namespace lentilhead::apps::ctl
