#include <cstdio>

#include "apps/ctl/commands.h"
#include "apps/ctl/output.h"

namespace lentilhead::apps::ctl {

namespace {

void PrintFleet(const nlohmann::json& answer) {
  Table table({"INSTANCE", "STATE", "READY", "ZONE", "REVISION", "DRAINS", "CONFIRMED (MS AGO)",
               "VERSION"});
  for (const nlohmann::json& instance : answer.value("instances", nlohmann::json::array())) {
    const bool answered = instance.value("answered", false);
    table.Add({CellOf(instance, "name"), CellOf(instance, "state"),
               answered ? CellOf(instance, "ready") : "no answer", CellOf(instance, "zone"),
               CellOf(instance, "revision"), CellOf(instance, "drain_revision"),
               CellOf(instance, "confirmation_age_ms"), CellOf(instance, "version")});
  }
  table.Print();
}

void PrintEndpoints(const nlohmann::json& answer) {
  Table table({"ENDPOINT", "SERVICE", "ZONE", "LISTED", "DRAINED", "REACHABLE", "MODEL", "VERSION",
               "RUNNING", "SLOTS"});
  for (const nlohmann::json& endpoint : answer.value("endpoints", nlohmann::json::array())) {
    const nlohmann::json load = endpoint.value("load", nlohmann::json::object());
    table.Add({CellOf(endpoint, "name"), CellOf(endpoint, "service"), CellOf(endpoint, "zone"),
               CellOf(endpoint, "listed"), CellOf(endpoint, "drained"),
               CellOf(endpoint, "reachable"), CellOf(load, "model"), CellOf(load, "version"),
               CellOf(load, "running"), CellOf(load, "slots")});
  }
  table.Print();
  for (const nlohmann::json& service : answer.value("unlisted_services", nlohmann::json::array())) {
    std::printf("cannot list the endpoints of %s now\n", CellOf(service).c_str());
  }
}

void PrintRollouts(const nlohmann::json& answer) {
  std::printf("sheet revision %s\n", CellOf(answer, "sheet_revision").c_str());
  Table table({"ENDPOINT", "SERVICE", "STATE", "REASON"});
  const auto add = [&table](const nlohmann::json& entries, const char* state) {
    for (const auto& [name, entry] : entries.items()) {
      table.Add(
          {CellOf(entry, "endpoint"), CellOf(entry, "service"), state, CellOf(entry, "reason")});
    }
  };
  add(answer.value("in_progress", nlohmann::json::object()), "in progress");
  add(answer.value("halted", nlohmann::json::object()), "halted");
  table.Print();
}

int ChangeDrain(CommandContext& context) {
  const auto& words = context.options.words;
  ApiRequest request;
  request.method = "POST";
  request.path = "/v1/" + words[0] + "s/" + UrlEncode(words[2]) + "/" + words[1];
  return RunRequest(context, context.operators, request, [&words](const nlohmann::json& answer) {
    std::printf("%s %s: %sed, revision %s\n", words[0].c_str(), words[2].c_str(), words[1].c_str(),
                CellOf(answer, "revision").c_str());
  });
}

}  // namespace

std::optional<int> RunFleetCommand(CommandContext& context) {
  const Options& options = context.options;
  if (IsCommand(options, "fleet", "status", 0)) {
    return RunRequest(context, context.operators, {.path = "/v1/fleet"}, PrintFleet);
  }
  if (IsCommand(options, "rollout", "status", 0)) {
    return RunRequest(context, context.operators, {.path = "/v1/rollouts"}, PrintRollouts);
  }
  if (IsCommand(options, "endpoint", "list", 0)) {
    return RunRequest(context, context.operators, {.path = "/v1/endpoints"}, PrintEndpoints);
  }
  for (const char* group : {"endpoint", "instance"}) {
    for (const char* verb : {"drain", "undrain"}) {
      if (IsCommand(options, group, verb, 1)) {
        return ChangeDrain(context);
      }
    }
  }
  return std::nullopt;
}

}  // namespace lentilhead::apps::ctl
