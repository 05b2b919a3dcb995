#include "online/online_settings.h"

#include <charconv>

namespace lentilhead::online {

namespace {

using framework::SettingsProblemKind;
using framework::SettingsReader;
using std::chrono::milliseconds;

constexpr std::size_t kSha256HexLength = 64;
constexpr milliseconds kMaxDuration{7 * 86'400'000LL};
constexpr std::int64_t kMaxBytes = 1 << 30;

std::size_t Bytes(SettingsReader& reader, const std::string& key, std::size_t fallback) {
  return static_cast<std::size_t>(
      reader.Integer(key, static_cast<std::int64_t>(fallback), 1'024, kMaxBytes));
}

int Count(SettingsReader& reader, const std::string& key, int fallback, int lowest, int highest) {
  return static_cast<int>(reader.Integer(key, fallback, lowest, highest));
}

void ReadTime(SettingsReader& reader, const std::string& key, milliseconds& value) {
  value = reader.Milliseconds(key, value, milliseconds(1), kMaxDuration);
}

void ReadListener(SettingsReader& reader, OnlineSettings& settings) {
  settings.caller_address = reader.RequiredString("entry.caller_address");
  settings.workers = Count(reader, "entry.workers", settings.workers, 1, 64);
  settings.max_body_bytes = Bytes(reader, "entry.max_body_bytes", settings.max_body_bytes);
  settings.max_header_bytes = Bytes(reader, "entry.max_header_bytes", settings.max_header_bytes);
  settings.max_answer_bytes = Bytes(reader, "entry.max_answer_bytes", settings.max_answer_bytes);
  settings.max_connections = static_cast<std::size_t>(Count(
      reader, "entry.max_connections", static_cast<int>(settings.max_connections), 1, 1 << 16));
  ReadTime(reader, "entry.header_timeout_ms", settings.header_timeout);
  settings.tls_certificate_file = reader.String("entry.tls_certificate_file", "");
  settings.tls_key_file = reader.String("entry.tls_key_file", "");
  if (settings.tls_certificate_file.empty() != settings.tls_key_file.empty()) {
    reader.Report(SettingsProblemKind::kInvalidValue, "entry.tls_key_file",
                  "the certificate and the key must be set together");
  }
}

void ReadAdmission(SettingsReader& reader, OnlineSettings& settings) {
  ReadTime(reader, "entry.request_timeout_ms", settings.request_timeout);
  ReadTime(reader, "entry.max_request_timeout_ms", settings.max_request_timeout);
  ReadTime(reader, "entry.first_token_timeout_ms", settings.first_token_timeout);
  ReadTime(reader, "entry.token_timeout_ms", settings.token_timeout);
  settings.max_queue = Count(reader, "entry.max_queue", settings.max_queue, 1, 1 << 20);
  ReadTime(reader, "entry.max_wait_ms", settings.max_wait);
  settings.endpoint_queue = Count(reader, "entry.endpoint_queue", settings.endpoint_queue, 0, 1024);
  settings.quantum = Count(reader, "entry.quantum", settings.quantum, 1, 1 << 20);
}

void ReadRetries(SettingsReader& reader, OnlineSettings& settings) {
  settings.max_attempts = Count(reader, "entry.max_attempts", settings.max_attempts, 1, 16);
  settings.retry_share = reader.Number("entry.retry_share", settings.retry_share, 0, 1);
  settings.retry_burst = reader.Number("entry.retry_burst", settings.retry_burst, 0, 1e6);
  ReadTime(reader, "entry.retry_first_delay_ms", settings.retry_first_delay);
  ReadTime(reader, "entry.retry_longest_delay_ms", settings.retry_longest_delay);
  ReadTime(reader, "entry.intent_patience_ms", settings.intent_patience);
  ReadTime(reader, "entry.intent_send_bound_ms", settings.intent_send_bound);
  ReadTime(reader, "entry.intent_retention_ms", settings.intent_retention);
  settings.intent_answer_bytes =
      Bytes(reader, "entry.intent_answer_bytes", settings.intent_answer_bytes);
  if (settings.intent_retention < settings.max_request_timeout + settings.intent_send_bound) {
    reader.Report(SettingsProblemKind::kInvalidValue, "entry.intent_retention_ms",
                  "must be at least the longest request timeout plus the send bound");
  }
}

CallerLimits ReadLimits(SettingsReader& reader, const std::string& prefix) {
  CallerLimits limits;
  limits.max_in_flight = Count(reader, prefix + "max_in_flight", limits.max_in_flight, 1, 1 << 20);
  limits.requests_per_second =
      reader.Number(prefix + "requests_per_second", limits.requests_per_second, 0.001, 1e6);
  limits.burst = reader.Number(prefix + "burst", limits.burst, 1, 1e6);
  return limits;
}

Caller ReadCaller(SettingsReader& reader, const std::string& prefix) {
  Caller caller;
  caller.name = reader.RequiredString(prefix + "name");
  caller.key_sha256 = reader.RequiredString(prefix + "key_sha256");
  const bool hexadecimal =
      caller.key_sha256.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (caller.key_sha256.size() != kSha256HexLength || !hexadecimal) {
    reader.Report(SettingsProblemKind::kInvalidValue, prefix + "key_sha256",
                  "must be a SHA-256 digest in lower-case hexadecimal");
  }
  const std::string role = reader.Choice(prefix + "role", "caller", {"caller", "operator"});
  caller.role = role == "operator" ? CallerRole::kOperator : CallerRole::kCaller;
  caller.limits = ReadLimits(reader, prefix);
  return caller;
}

}  // namespace

OnlineSettings OnlineSettings::Read(framework::SettingsReader& reader) {
  OnlineSettings settings;
  ReadListener(reader, settings);
  ReadAdmission(reader, settings);
  ReadRetries(reader, settings);
  ReadTime(reader, "entry.drain_lag_ms", settings.drain_lag);
  ReadTime(reader, "entry.drain_limit_ms", settings.drain_limit);
  ReadTime(reader, "entry.reload_period_ms", settings.reload_period);
  const std::size_t count = reader.TableCount("caller");
  for (std::size_t index = 0; index < count; ++index) {
    settings.callers.push_back(ReadCaller(reader, "caller[" + std::to_string(index) + "]."));
  }
  return settings;
}

framework::HttpServerSettings OnlineSettings::Listener() const {
  framework::HttpServerSettings listener;
  const std::size_t colon = this->caller_address.rfind(':');
  listener.address = this->caller_address.substr(0, colon);
  if (colon != std::string::npos) {
    const char* end = this->caller_address.data() + this->caller_address.size();
    std::from_chars(this->caller_address.data() + colon + 1, end, listener.port);
  }
  listener.share_port = true;
  listener.max_body_size = this->max_body_bytes;
  listener.max_header_size = this->max_header_bytes;
  listener.header_timeout = this->header_timeout;
  listener.max_connections = this->max_connections;
  listener.tls_certificate_file = this->tls_certificate_file;
  listener.tls_key_file = this->tls_key_file;
  return listener;
}

}  // namespace lentilhead::online
