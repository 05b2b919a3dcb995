#include "online/internal/request_validator.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "framework/hash.h"
#include "online/internal/answer_writer.h"

namespace lentilhead::online::internal {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxRequestIdLength = 128;

bool IsValidRequestId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxRequestIdLength &&
         std::all_of(id.begin(), id.end(),
                     [](unsigned char letter) { return std::isgraph(letter); });
}

/// Parses a positive number of milliseconds. @return no value if the text is not one.
std::optional<milliseconds> ParseTimeout(const std::string& text) {
  std::int64_t count = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc() || end != text.data() + text.size() || count <= 0) {
    return std::nullopt;
  }
  return milliseconds(count);
}

}  // namespace

RequestValidator::RequestValidator(const OnlineSettings& settings, framework::TimerService& timers,
                                   OnlineMetrics& metrics)
    : settings(settings),
      timers(timers),
      metrics(metrics),
      callers(std::make_shared<const CallerRegistry>(settings.callers)) {}

void RequestValidator::SetCallers(std::shared_ptr<const CallerRegistry> registry) {
  this->callers = std::move(registry);
}

std::optional<RequestContext> RequestValidator::Validate(
    const std::shared_ptr<framework::HttpExchange>& exchange) {
  RequestContext context;
  context.exchange = exchange;
  const auto given_id = exchange->Header("X-Request-Id");
  context.request_id = given_id && IsValidRequestId(*given_id) ? *given_id : framework::RandomId();
  exchange->SetHeader("X-Request-Id", context.request_id);
  if (this->leaving) {
    exchange->SetHeader("Connection", "close");
  }
  auto caller = this->callers->Authenticate(*exchange);
  if (const auto* reason = std::get_if<RefusalReason>(&caller)) {
    WriteRefusal(*exchange, {*reason, Outcome::kNotRun, std::nullopt}, this->metrics);
    return std::nullopt;
  }
  context.caller = std::get<0>(std::move(caller));
  milliseconds timeout = this->settings.request_timeout;
  const auto header = exchange->Header("X-Request-Timeout-Ms");
  if (header) {
    const auto requested = ParseTimeout(*header);
    if (!requested) {
      WriteRefusal(*exchange, {RefusalReason::kInvalidRequest, Outcome::kNotRun, std::nullopt},
                   this->metrics);
      return std::nullopt;
    }
    timeout = std::min(*requested, this->settings.max_request_timeout);
  }
  context.deadline = this->timers.Now() + timeout;
  return context;
}

}  // namespace lentilhead::online::internal
