#include <cstdio>

#include "apps/ctl/commands.h"
#include "apps/ctl/exit_codes.h"
#include "apps/ctl/output.h"
#include "framework/hash.h"

namespace lentilhead::apps::ctl {

namespace {

std::string RowText(const nlohmann::json& row) {
  std::string text = CellOf(row, "service");
  for (const char* member : {"model", "version", "adapter", "capacity", "window"}) {
    text.append(" ").append(member).append("=").append(CellOf(row, member));
  }
  return text;
}

void PrintDiff(const nlohmann::json& diff) {
  for (const nlohmann::json& row : diff.value("added", nlohmann::json::array())) {
    std::printf("+ %s\n", RowText(row).c_str());
  }
  for (const nlohmann::json& row : diff.value("removed", nlohmann::json::array())) {
    std::printf("- %s\n", RowText(row).c_str());
  }
  for (const nlohmann::json& change : diff.value("changed", nlohmann::json::array())) {
    std::printf("- %s\n", RowText(change["before"]).c_str());
    std::printf("+ %s\n", RowText(change["after"]).c_str());
  }
}

void PrintSubmission(const nlohmann::json& answer) {
  if (answer.value("dry_run", false)) {
    std::printf("dry run against revision %s%s\n", CellOf(answer, "current_revision").c_str(),
                answer.value("would_conflict", false) ? " (not the expected revision)" : "");
  } else {
    std::printf("accepted as revision %s\n", CellOf(answer, "revision").c_str());
  }
  PrintDiff(answer.value("diff", nlohmann::json::object()));
}

void PrintSheet(const nlohmann::json& answer) {
  std::printf("revision %s\n", CellOf(answer, "revision").c_str());
  Table table({"SERVICE", "MODEL", "VERSION", "ADAPTER", "CAPACITY", "ZONES", "ROLES", "WINDOW"});
  for (const nlohmann::json& row : answer.value("rows", nlohmann::json::array())) {
    table.Add({CellOf(row, "service"), CellOf(row, "model"), CellOf(row, "version"),
               CellOf(row, "adapter"), CellOf(row, "capacity"), CellOf(row, "zones"),
               CellOf(row, "roles"), CellOf(row, "window")});
  }
  table.Print();
}

void PrintHistory(const nlohmann::json& answer) {
  Table table({"REVISION", "SUBMITTED BY", "ACCEPTED AT (MS)", "DIGEST"});
  for (const nlohmann::json& entry : answer.value("history", nlohmann::json::array())) {
    table.Add({CellOf(entry, "revision"), CellOf(entry, "submitted_by"),
               CellOf(entry, "accepted_at_ms"), CellOf(entry, "digest").substr(0, 12)});
  }
  table.Print();
}

/// Returns the active revision of the instance that answers; 0 if it has none; no value after an
/// error, which is printed.
std::optional<std::uint64_t> CurrentRevision(CommandContext& context) {
  const auto reply = context.operators.Send({.path = "/v1/sheet"});
  if (!reply) {
    ReportFailure(reply.Error());
    return std::nullopt;
  }
  if (reply.Value().head.status == 404) {
    return 0;
  }
  const nlohmann::json body = nlohmann::json::parse(reply.Value().body, nullptr, false);
  if (reply.Value().head.status != 200 || !body.is_object()) {
    ReportError(reply.Value());
    return std::nullopt;
  }
  return body.value("revision", std::uint64_t{0});
}

/// Resolves the unknown outcome of a submission without an answer, by its digest in the history.
/// @param revision revision that the submission gets if it was accepted. @return exit code.
int ResolveSubmission(CommandContext& context, std::uint64_t revision, const std::string& csv,
                      const ApiFailure& failure) {
  const auto reply = context.operators.Send({.path = "/v1/sheet/history"});
  if (!reply || reply.Value().head.status != 200) {
    return ReportFailure(failure);
  }
  const nlohmann::json body = nlohmann::json::parse(reply.Value().body, nullptr, false);
  const std::string digest = framework::Sha256Hex(csv);
  for (const nlohmann::json& entry : body.value("history", nlohmann::json::array())) {
    if (entry.value("revision", std::uint64_t{0}) == revision) {
      const bool own = entry.value("digest", "") == digest;
      std::printf(own ? "accepted as revision %s\n" : "another sheet became revision %s\n",
                  CellOf(entry, "revision").c_str());
      return own ? 0 : kExitConflict;
    }
  }
  return ReportFailure(failure);
}

int Submit(CommandContext& context, const std::string& file) {
  const auto csv = ReadFile(file);
  if (!csv) {
    return kExitBadUsage;
  }
  const auto expected =
      context.options.expected ? context.options.expected : CurrentRevision(context);
  if (!expected) {
    return kExitFailed;
  }
  ApiRequest request;
  request.method = "POST";
  request.path = "/v1/sheet?expected=" + std::to_string(*expected) +
                 (context.options.dry_run ? "&dry_run=1" : "");
  request.body = *csv;
  request.content_type = "text/csv";
  request.idempotent = context.options.dry_run;
  const auto reply = context.operators.Send(request);
  if (!reply) {
    return reply.Error().request_started && !context.options.dry_run
               ? ResolveSubmission(context, *expected + 1, *csv, reply.Error())
               : ReportFailure(reply.Error());
  }
  if (reply.Value().head.status != 200) {
    return ReportError(reply.Value());
  }
  const nlohmann::json body = nlohmann::json::parse(reply.Value().body, nullptr, false);
  if (context.options.json) {
    PrintJson(body);
  } else {
    PrintSubmission(body);
  }
  return 0;
}

}  // namespace

std::optional<int> RunSheetCommand(CommandContext& context) {
  const Options& options = context.options;
  if (IsCommand(options, "sheet", "submit", 1)) {
    return Submit(context, options.words[2]);
  }
  if (IsCommand(options, "sheet", "show", 0)) {
    const std::string query =
        options.revision ? "?revision=" + std::to_string(*options.revision) : "";
    return RunRequest(context, context.operators, {.path = "/v1/sheet" + query}, PrintSheet);
  }
  if (IsCommand(options, "sheet", "history", 0)) {
    return RunRequest(context, context.operators, {.path = "/v1/sheet/history"}, PrintHistory);
  }
  return std::nullopt;
}

}  // namespace lentilhead::apps::ctl
