#include <cstdio>

#include "apps/ctl/commands.h"
#include "apps/ctl/exit_codes.h"
#include "apps/ctl/output.h"
#include "framework/hash.h"

namespace lentilhead::apps::ctl {

namespace {

constexpr std::chrono::milliseconds kPollPeriod{500};
constexpr int kMaxFailedPolls = 240;

std::string StateOf(const nlohmann::json& job) { return CellOf(job, "state"); }

/// Number of items of a job. @param state `total`, `succeeded` or `failed`.
std::string ItemsOf(const nlohmann::json& job, const char* state) {
  return CellOf(job.value("items", nlohmann::json::object()), state);
}

bool HasEnded(const nlohmann::json& job) {
  return StateOf(job) == "finished" || StateOf(job) == "cancelled";
}

void PrintJob(const nlohmann::json& job) {
  for (const auto& [name, value] : job.items()) {
    std::printf("%-16s %s\n", name.c_str(), CellOf(value).c_str());
  }
}

void PrintJobs(const nlohmann::json& answer) {
  Table table({"JOB", "STATE", "SERVICE", "ITEMS", "SUCCEEDED", "FAILED"});
  for (const nlohmann::json& job : answer.value("data", nlohmann::json::array())) {
    table.Add({CellOf(job, "id"), StateOf(job), CellOf(job, "service"), ItemsOf(job, "total"),
               ItemsOf(job, "succeeded"), ItemsOf(job, "failed")});
  }
  table.Print();
}

int ExitCodeOf(const nlohmann::json& job) {
  const bool whole =
      StateOf(job) == "finished" && ItemsOf(job, "succeeded") == ItemsOf(job, "total");
  return whole ? 0 : kExitJobNotCompleted;
}

/// Polls a job until it ends, and prints its progress to standard error. @return exit code.
int WaitForJob(CommandContext& context, const std::string& id) {
  std::string shown;
  int failed_polls = 0;
  while (true) {
    const auto reply = context.callers.Send({.path = "/v1/jobs/" + UrlEncode(id)});
    const bool answered = reply && reply.Value().head.status == 200;
    if (!answered && ++failed_polls > kMaxFailedPolls) {
      return reply ? ReportError(reply.Value()) : ReportFailure(reply.Error());
    }
    if (!answered && reply && reply.Value().head.status < 500) {
      return ReportError(reply.Value());
    }
    if (answered) {
      failed_polls = 0;
      const nlohmann::json job = nlohmann::json::parse(reply.Value().body, nullptr, false);
      const std::string progress = StateOf(job) + ": " + ItemsOf(job, "succeeded") +
                                   " succeeded, " + ItemsOf(job, "failed") + " failed of " +
                                   ItemsOf(job, "total");
      if (progress != shown) {
        std::fprintf(stderr, "%s\n", progress.c_str());
        shown = progress;
      }
      if (HasEnded(job)) {
        context.options.json ? PrintJson(job) : PrintJob(job);
        return ExitCodeOf(job);
      }
    }
    context.callers.Sleep(kPollPeriod);
  }
}

int Submit(CommandContext& context, const std::string& file) {
  const Options& options = context.options;
  const auto items = ReadFile(file);
  if (!items) {
    return kExitBadUsage;
  }
  if (options.service.empty()) {
    std::fprintf(stderr, "error: --service is required\n");
    return kExitBadUsage;
  }
  ApiRequest request;
  request.method = "POST";
  request.path = "/v1/jobs?service=" + UrlEncode(options.service);
  if (options.deadline) {
    request.path += "&deadline_ms=" + std::to_string(options.deadline->count());
  }
  request.body = *items;
  request.content_type = "application/jsonl";
  // The key makes the submission idempotent, so that it can be retried at another instance.
  request.headers.emplace_back("Idempotency-Key", options.idempotency_key.empty()
                                                      ? framework::RandomId()
                                                      : options.idempotency_key);
  const auto reply = context.callers.Send(request);
  if (!reply) {
    return ReportFailure(reply.Error());
  }
  if (reply.Value().head.status >= 300) {
    return ReportError(reply.Value());
  }
  const nlohmann::json job = nlohmann::json::parse(reply.Value().body, nullptr, false);
  const std::string id = CellOf(job, "id");
  if (!options.wait) {
    options.json ? PrintJson(job) : static_cast<void>(std::printf("%s\n", id.c_str()));
    return 0;
  }
  std::fprintf(stderr, "job %s\n", id.c_str());
  return WaitForJob(context, id);
}

int PrintResults(CommandContext& context, const std::string& id) {
  const auto reply = context.callers.Send({.path = "/v1/jobs/" + UrlEncode(id) + "/results"});
  if (!reply) {
    return ReportFailure(reply.Error());
  }
  if (reply.Value().head.status != 200) {
    return ReportError(reply.Value());
  }
  std::fwrite(reply.Value().body.data(), 1, reply.Value().body.size(), stdout);
  return 0;
}

}  // namespace

std::optional<int> RunJobCommand(CommandContext& context) {
  const Options& options = context.options;
  if (IsCommand(options, "job", "submit", 1)) {
    return Submit(context, options.words[2]);
  }
  if (IsCommand(options, "job", "status", 1)) {
    if (options.wait) {
      return WaitForJob(context, options.words[2]);
    }
    return RunRequest(context, context.callers, {.path = "/v1/jobs/" + UrlEncode(options.words[2])},
                      PrintJob);
  }
  if (IsCommand(options, "job", "cancel", 1)) {
    ApiRequest request;
    request.method = "POST";
    request.path = "/v1/jobs/" + UrlEncode(options.words[2]) + "/cancel";
    return RunRequest(context, context.callers, request, PrintJob);
  }
  if (IsCommand(options, "job", "results", 1)) {
    return PrintResults(context, options.words[2]);
  }
  if (IsCommand(options, "job", "list", 0)) {
    return RunRequest(context, context.callers, {.path = "/v1/jobs"}, PrintJobs);
  }
  if (options.words.size() == 1 && options.words[0] == "models") {
    return RunRequest(
        context, context.callers, {.path = "/v1/models"}, [](const nlohmann::json& answer) {
          for (const nlohmann::json& model : answer.value("data", nlohmann::json::array())) {
            std::printf("%s\n", CellOf(model, "id").c_str());
          }
        });
  }
  return std::nullopt;
}

}  // namespace lentilhead::apps::ctl
