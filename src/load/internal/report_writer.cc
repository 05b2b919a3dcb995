#include "load/report_writer.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace lentilhead::load {

namespace {

constexpr CallEnd kEnds[] = {CallEnd::kCompleted, CallEnd::kRefused, CallEnd::kErrorEvent,
                             CallEnd::kCut,       CallEnd::kWrong,   CallEnd::kUnreachable};
constexpr double kQuantiles[] = {0.5, 0.9, 0.95, 0.99, 0.999};

double Milliseconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

template <class... Values>
void AppendLine(std::string& text, const char* format, Values... values) {
  char line[512];
  std::snprintf(line, sizeof(line), format, values...);
  text.append(line);
}

nlohmann::json TallyJson(const WorkloadTally& tally) {
  nlohmann::json json;
  json["calls"] = tally.Calls();
  json["tokens"] = tally.Tokens();
  for (const CallEnd end : kEnds) {
    json["ends"][NameOf(end)] = tally.CountOf(end);
  }
  json["reasons"] = tally.Reasons();
  for (const double quantile : kQuantiles) {
    const std::string name = std::to_string(quantile).substr(0, 5);
    json["first_token_ms"][name] = Milliseconds(tally.FirstTokenQuantile(quantile));
    json["longest_gap_ms"][name] = Milliseconds(tally.GapQuantile(quantile));
  }
  return json;
}

nlohmann::json JobJson(const JobResult& job) {
  return {{"name", job.name},
          {"id", job.id},
          {"accepted", job.accepted},
          {"finished", job.finished},
          {"items", job.items},
          {"succeeded", job.succeeded},
          {"failed", job.failed},
          {"missing", job.missing},
          {"duplicated", job.duplicated},
          {"wrong", job.wrong},
          {"duration_ms", job.duration.count()},
          {"error", job.error}};
}

/// Renders the quantiles of the time to the first token as an SVG polyline.
std::string QuantileCurve(const WorkloadTally& tally, double scale_ms, const char* colour) {
  std::string points;
  for (int percent = 1; percent <= 99; ++percent) {
    const double time = Milliseconds(tally.FirstTokenQuantile(percent / 100.0));
    const double x = 40 + 5.2 * percent;
    const double y = 260 - 240 * std::min(1.0, time / scale_ms);
    AppendLine(points, "%.1f,%.1f ", x, y);
  }
  return "<polyline fill='none' stroke='" + std::string(colour) + "' points='" + points + "'/>\n";
}

std::string Plot(const LoadReport& report, const std::string& workload) {
  static constexpr const char* kColours[] = {"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e"};
  double scale_ms = 1;
  for (const auto& [key, tally] : report.tallies) {
    if (key.second == workload) {
      scale_ms = std::max(scale_ms, Milliseconds(tally.FirstTokenQuantile(0.99)));
    }
  }
  std::string svg = "<svg width='600' height='300' role='img'>";
  AppendLine(svg, "<text x='0' y='20'>%.1f ms</text><text x='40' y='290'>1%%</text>", scale_ms);
  svg.append(
      "<text x='540' y='290'>99%</text><path d='M40 20V260H560' fill='none' stroke='#888'/>");
  std::size_t colour = 0;
  std::string legend;
  for (const Phase& phase : report.phases) {
    const auto found = report.tallies.find({phase.name, workload});
    if (found == report.tallies.end()) {
      continue;
    }
    const char* stroke = kColours[colour++ % std::size(kColours)];
    svg.append(QuantileCurve(found->second, scale_ms, stroke));
    legend.append("<span style='color:").append(stroke).append("'>").append(phase.name);
    legend.append("</span> ");
  }
  return "<h2>First token, " + workload + "</h2><p>" + legend + "</p>" + svg + "</svg>\n";
}

}  // namespace

bool LoadReport::IsClean() const {
  for (const auto& [key, tally] : this->tallies) {
    if (tally.CountOf(CallEnd::kCut) + tally.CountOf(CallEnd::kWrong) > 0) {
      return false;
    }
  }
  for (const JobResult& job : this->jobs) {
    if (!job.IsComplete()) {
      return false;
    }
  }
  return true;
}

std::string RenderTable(const LoadReport& report) {
  std::string text;
  AppendLine(text, "%-14s %-14s %7s %7s %7s %6s %5s %5s %7s %9s %9s %9s\n", "phase", "workload",
             "calls", "whole", "refused", "errors", "cut", "wrong", "no-ans", "p50 ms", "p95 ms",
             "p99 ms");
  for (const auto& [key, tally] : report.tallies) {
    AppendLine(
        text, "%-14s %-14s %7lu %7lu %7lu %6lu %5lu %5lu %7lu %9.2f %9.2f %9.2f\n",
        key.first.c_str(), key.second.c_str(), tally.Calls(), tally.CountOf(CallEnd::kCompleted),
        tally.CountOf(CallEnd::kRefused), tally.CountOf(CallEnd::kErrorEvent),
        tally.CountOf(CallEnd::kCut), tally.CountOf(CallEnd::kWrong),
        tally.CountOf(CallEnd::kUnreachable), Milliseconds(tally.FirstTokenQuantile(0.5)),
        Milliseconds(tally.FirstTokenQuantile(0.95)), Milliseconds(tally.FirstTokenQuantile(0.99)));
    for (const auto& [reason, count] : tally.Reasons()) {
      AppendLine(text, "    %-40s %lu\n", reason.c_str(), count);
    }
  }
  for (const JobResult& job : report.jobs) {
    AppendLine(text,
               "job %-14s accepted=%s finished=%s items=%d succeeded=%d failed=%d missing=%d "
               "duplicated=%d wrong=%d seconds=%.1f\n",
               job.name.c_str(), job.accepted ? "yes" : "no", job.finished ? "yes" : "no",
               job.items, job.succeeded, job.failed, job.missing, job.duplicated, job.wrong,
               std::chrono::duration<double>(job.duration).count());
    if (!job.error.empty()) {
      text.append("    ").append(job.error).append("\n");
    }
  }
  for (const auto& [name, value] : report.counters) {
    AppendLine(text, "counter %-70s %.0f\n", name.c_str(), value);
  }
  return text;
}

std::string RenderJson(const LoadReport& report) {
  nlohmann::json json;
  json["experiment"] = report.experiment;
  json["seed"] = report.seed;
  json["clean"] = report.IsClean();
  for (const auto& [key, tally] : report.tallies) {
    json["phases"][key.first][key.second] = TallyJson(tally);
  }
  json["jobs"] = nlohmann::json::array();
  for (const JobResult& job : report.jobs) {
    json["jobs"].push_back(JobJson(job));
  }
  json["counters"] = report.counters;
  return json.dump(1);
}

std::string RenderHtml(const LoadReport& report) {
  std::string page = "<!doctype html><meta charset='utf-8'><title>" + report.experiment +
                     "</title><style>body{font-family:sans-serif;margin:2em}</style><h1>" +
                     report.experiment + "</h1><pre>" + RenderTable(report) + "</pre>\n";
  std::string last;
  for (const auto& [key, tally] : report.tallies) {
    if (key.first == report.phases.front().name) {
      page.append(Plot(report, key.second));
    }
  }
  return page;
}

}  // namespace lentilhead::load
