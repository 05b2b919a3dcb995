#include "apps/ctl/output.h"

#include <algorithm>
#include <cstdio>

#include "apps/ctl/exit_codes.h"

namespace lentilhead::apps::ctl {

namespace {

constexpr int kColumnGap = 2;

int ExitCodeOf(int status, const std::string& outcome) {
  if (outcome == "unknown") {
    return kExitUnknownOutcome;
  }
  switch (status) {
    case 401:
    case 403:
      return kExitAuthentication;
    case 409:
      return kExitConflict;
    default:
      return status < 500 && status != 429 ? kExitRefused : kExitFailed;
  }
}

void PrintProblem(const nlohmann::json& problem) {
  std::fprintf(stderr, "  row %s", CellOf(problem, "row").c_str());
  if (!problem.value("column", "").empty()) {
    std::fprintf(stderr, ", column %s", CellOf(problem, "column").c_str());
  }
  std::fprintf(stderr, ": %s (%s)\n", CellOf(problem, "message").c_str(),
               CellOf(problem, "kind").c_str());
}

}  // namespace

Table::Table(std::vector<std::string> header) { this->rows.push_back(std::move(header)); }

void Table::Add(std::vector<std::string> cells) { this->rows.push_back(std::move(cells)); }

void Table::Print() const {
  std::vector<std::size_t> widths(this->rows.front().size(), 0);
  for (const auto& row : this->rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  for (const auto& row : this->rows) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line.append(row[column]);
      if (column + 1 < row.size()) {
        line.append(widths[column] - row[column].size() + kColumnGap, ' ');
      }
    }
    std::printf("%s\n", line.c_str());
  }
}

std::string CellOf(const nlohmann::json& value) {
  if (value.is_null()) {
    return "-";
  }
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string CellOf(const nlohmann::json& object, const char* member) {
  const bool present = object.is_object() && object.contains(member);
  const std::string text = present ? CellOf(object.at(member)) : "-";
  return text.empty() ? "-" : text;
}

void PrintJson(const nlohmann::json& value) { std::printf("%s\n", value.dump(2).c_str()); }

int ReportError(const framework::HttpResponse& response) {
  const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("error") || !body["error"].is_object()) {
    std::fprintf(stderr, "error: status %d\n", response.head.status);
    return ExitCodeOf(response.head.status, response.head.Header("x-outcome").value_or(""));
  }
  const nlohmann::json& error = body["error"];
  std::fprintf(stderr, "error: %s (%s, %s)\n", CellOf(error, "message").c_str(),
               CellOf(error, "type").c_str(), CellOf(error, "code").c_str());
  for (const char* member : {"outcome", "retry_after_ms", "current_revision", "current_by"}) {
    if (error.contains(member)) {
      std::fprintf(stderr, "  %s: %s\n", member, CellOf(error, member).c_str());
    }
  }
  if (error.contains("problems") && error["problems"].is_array()) {
    for (const nlohmann::json& problem : error["problems"]) {
      PrintProblem(problem);
    }
  }
  return ExitCodeOf(response.head.status, error.value("outcome", ""));
}

int ReportFailure(const ApiFailure& failure) {
  std::fprintf(stderr, "error: no answer (%s)\n  outcome: %s\n", failure.detail.c_str(),
               failure.request_started ? "unknown" : "not_run");
  return failure.request_started ? kExitUnknownOutcome : kExitFailed;
}

}  // namespace lentilhead::apps::ctl
