#include "apps/ctl/options.h"

#include <popt.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <sstream>

#include "apps/ctl/exit_codes.h"
#include "framework/program.h"

namespace lentilhead::apps::ctl {

namespace {

using std::chrono::milliseconds;

struct PoptDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

using PoptContext = std::unique_ptr<std::remove_pointer_t<poptContext>, PoptDeleter>;

enum OptionId : int {
  kUrl = 1,
  kOperatorUrl,
  kKeyFile,
  kExpected,
  kRevision,
  kDeadline,
  kService,
  kKey,
  kAgainst,
  kVersion,
};

constexpr char kUsage[] =
    "COMMAND\n\n"
    "Commands:\n"
    "  sheet submit FILE [--expected N] [--dry-run]\n"
    "  sheet show [--revision N]\n"
    "  sheet history\n"
    "  fleet status\n"
    "  rollout status\n"
    "  endpoint list\n"
    "  endpoint drain|undrain NAME\n"
    "  instance drain|undrain NAME\n"
    "  job submit FILE --service S [--deadline 6h] [--key K] [--wait]\n"
    "  job status|cancel|results ID\n"
    "  job list\n"
    "  models\n"
    "  config check FILE [--against FILE]   check a configuration before it is sent\n"
    "  trace ID FILE...   show the log lines of a request, job or item\n\n"
    "Environment: LENTILHEAD_URL, LENTILHEAD_OPERATOR_URL (comma-separated), LENTILHEAD_KEY\n\n"
    "Exit codes: 0 done, 1 failed, 2 usage, 4 refused, 5 conflict, 6 authentication,\n"
    "            7 outcome unknown, 8 job not completed\n";

std::vector<std::string> Split(const char* text) {
  std::vector<std::string> parts;
  std::istringstream stream(text == nullptr ? "" : text);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && stop == end ? std::optional(number) : std::nullopt;
}

std::optional<milliseconds> ParseDuration(const std::string& text) {
  if (text.empty()) {
    return std::nullopt;
  }
  const auto number = ParseNumber(text.substr(0, text.size() - 1));
  if (!number || *number > 100'000) {
    return std::nullopt;
  }
  switch (text.back()) {
    case 's':
      return std::chrono::seconds(*number);
    case 'm':
      return std::chrono::minutes(*number);
    case 'h':
      return std::chrono::hours(*number);
    default:
      return std::nullopt;
  }
}

bool ReadKeyFile(const std::string& file, std::string& key) {
  std::ifstream stream(file);
  if (!stream) {
    return false;
  }
  std::getline(stream, key);
  return !key.empty();
}

/// Stores the argument of an option. @return false if the argument is invalid.
bool ApplyOption(int option, const std::string& argument, Options& options) {
  switch (option) {
    case kUrl:
      options.urls.push_back(argument);
      return true;
    case kOperatorUrl:
      options.operator_urls.push_back(argument);
      return true;
    case kKeyFile:
      return ReadKeyFile(argument, options.access_key);
    case kExpected:
      options.expected = ParseNumber(argument);
      return options.expected.has_value();
    case kRevision:
      options.revision = ParseNumber(argument);
      return options.revision.has_value();
    case kDeadline:
      options.deadline = ParseDuration(argument);
      return options.deadline.has_value();
    case kService:
      options.service = argument;
      return true;
    case kKey:
      options.idempotency_key = argument;
      return true;
    case kAgainst:
      options.against = argument;
      return true;
    default:
      return false;
  }
}

void ApplyEnvironment(Options& options) {
  if (options.urls.empty()) {
    options.urls = Split(std::getenv("LENTILHEAD_URL"));
  }
  if (options.operator_urls.empty()) {
    options.operator_urls = Split(std::getenv("LENTILHEAD_OPERATOR_URL"));
  }
  const char* key = std::getenv("LENTILHEAD_KEY");
  if (options.access_key.empty() && key != nullptr) {
    options.access_key = key;
  }
}

}  // namespace

OptionsOrExit ParseOptions(int argc, const char** argv) {
  int json = 0;
  int dry_run = 0;
  int wait = 0;
  const poptOption table[] = {
      {"url", 'u', POPT_ARG_STRING, nullptr, kUrl, "URL for callers; may be repeated", "URL"},
      {"operator-url", 'o', POPT_ARG_STRING, nullptr, kOperatorUrl,
       "URL for operators; may be repeated", "URL"},
      {"key-file", 'k', POPT_ARG_STRING, nullptr, kKeyFile, "File with the access key", "FILE"},
      {"json", 'j', POPT_ARG_NONE, &json, 0, "Print the answer as JSON", nullptr},
      {"expected", 0, POPT_ARG_STRING, nullptr, kExpected, "Expected current revision of the sheet",
       "N"},
      {"dry-run", 0, POPT_ARG_NONE, &dry_run, 0, "Check the sheet and show the changes only",
       nullptr},
      {"revision", 0, POPT_ARG_STRING, nullptr, kRevision, "Revision to show", "N"},
      {"deadline", 0, POPT_ARG_STRING, nullptr, kDeadline, "Deadline of a job: 90s, 30m, 6h",
       "TIME"},
      {"service", 0, POPT_ARG_STRING, nullptr, kService, "Service of a job", "NAME"},
      {"key", 0, POPT_ARG_STRING, nullptr, kKey, "Idempotency key of a job", "KEY"},
      {"against", 0, POPT_ARG_STRING, nullptr, kAgainst,
       "File with the configuration in force, to compare with", "FILE"},
      {"wait", 0, POPT_ARG_NONE, &wait, 0, "Wait for the end of the job", nullptr},
      {"version", 'V', POPT_ARG_NONE, nullptr, kVersion, "Print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const PoptContext context(poptGetContext(nullptr, argc, argv, table, 0));
  poptSetOtherOptionHelp(context.get(), kUsage);
  Options options;
  int option = 0;
  while ((option = poptGetNextOpt(context.get())) > 0) {
    if (option == kVersion) {
      std::printf("lentilhead-ctl %s\n", LENTILHEAD_VERSION);
      return framework::ProgramExit{framework::kExitOk};
    }
    const std::unique_ptr<char, decltype(&std::free)> argument(poptGetOptArg(context.get()),
                                                               &std::free);
    if (!ApplyOption(option, argument ? argument.get() : "", options)) {
      std::fprintf(stderr, "invalid argument: %s\n", argument ? argument.get() : "");
      return framework::ProgramExit{kExitBadUsage};
    }
  }
  if (option < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context.get(), 0), poptStrerror(option));
    return framework::ProgramExit{kExitBadUsage};
  }
  while (const char* word = poptGetArg(context.get())) {
    options.words.emplace_back(word);
  }
  options.json = json != 0;
  options.dry_run = dry_run != 0;
  options.wait = wait != 0;
  ApplyEnvironment(options);
  return options;
}

}  // namespace lentilhead::apps::ctl
