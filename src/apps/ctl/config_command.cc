#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "apps/ctl/commands.h"
#include "apps/ctl/exit_codes.h"
#include "apps/ctl/output.h"
#include "config_check/config_checker.h"
#include "config_check/config_comparison.h"
#include "platform/config_document_codec.h"

namespace lentilhead::apps::ctl {

namespace {

using config_check::ConfigChange;
using config_check::Finding;

struct Report {
  std::vector<Finding> findings;
  std::optional<std::vector<ConfigChange>> changes;  ///< none if nothing was compared
};

void AddErrors(const std::vector<platform::DecodeError>& errors, std::vector<Finding>& findings) {
  for (const platform::DecodeError& error : errors) {
    findings.push_back({Finding::Kind::kError, error.field, error.reason});
  }
}

void Append(std::vector<Finding> more, std::vector<Finding>& findings) {
  findings.insert(findings.end(), more.begin(), more.end());
}

/// Reads the version in force. @return nothing if it cannot be read, after printing an error.
std::optional<config_check::ConfigDocument> ReadInForce(const std::string& path) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    return std::nullopt;
  }
  platform::ConfigReading in_force = platform::ReadConfig(*text);
  if (!in_force.document) {
    std::fprintf(stderr, "error: %s is not a configuration\n", path.c_str());
  }
  return std::move(in_force.document);
}

void PrintReportAsJson(const Report& report) {
  nlohmann::json findings = nlohmann::json::array();
  for (const Finding& finding : report.findings) {
    findings.push_back({{"kind", std::string(NameOf(finding.kind))},
                        {"place", finding.place},
                        {"reason", finding.reason}});
  }
  nlohmann::json changes;  // null if nothing was compared
  if (report.changes) {
    changes = nlohmann::json::array();
    for (const ConfigChange& change : *report.changes) {
      changes.push_back(
          {{"place", change.place}, {"before", change.before}, {"after", change.after}});
    }
  }
  PrintJson({{"findings", findings}, {"changes", changes}});
}

void PrintChanges(const std::vector<ConfigChange>& changes) {
  for (const ConfigChange& change : changes) {
    if (change.before.empty() || change.after.empty()) {
      std::printf("%c %s\n", change.before.empty() ? '+' : '-', change.place.c_str());
    } else {
      std::printf("~ %s: %s -> %s\n", change.place.c_str(), change.before.c_str(),
                  change.after.c_str());
    }
  }
}

void PrintReport(const Report& report) {
  for (const Finding& finding : report.findings) {
    std::printf("%s: %s: %s\n", std::string(NameOf(finding.kind)).c_str(), finding.place.c_str(),
                finding.reason.c_str());
  }
  if (report.changes) {
    PrintChanges(*report.changes);
    std::printf("%zu findings, %zu changes\n", report.findings.size(), report.changes->size());
  } else {
    std::printf("%zu findings, not compared\n", report.findings.size());
  }
}

}  // namespace

std::optional<int> RunConfigCommand(CommandContext& context) {
  const Options& options = context.options;
  if (!IsCommand(options, "config", "check", 1)) {
    return std::nullopt;
  }
  const std::optional<std::string> text = ReadFile(options.words[2]);
  if (!text) {
    return kExitBadUsage;
  }
  std::optional<config_check::ConfigDocument> in_force;
  if (options.against) {
    in_force = ReadInForce(*options.against);
    if (!in_force) {
      return kExitBadUsage;
    }
  }
  const platform::ConfigReading reading = platform::ReadConfig(*text);
  Report report;
  AddErrors(reading.errors, report.findings);
  if (reading.document) {
    Append(config_check::ConfigChecker::Check(*reading.document), report.findings);
  }
  if (reading.document && in_force) {
    Append(config_check::ConfigComparison::Check(*in_force, *reading.document), report.findings);
    report.changes = config_check::ConfigComparison::Changes(*in_force, *reading.document);
  }
  if (options.json) {
    PrintReportAsJson(report);
  } else {
    PrintReport(report);
  }
  return report.findings.empty() ? 0 : kExitFailed;
}

}  // namespace lentilhead::apps::ctl
