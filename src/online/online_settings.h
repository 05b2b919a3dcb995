#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "framework/settings_reader.h"
#include "framework/types/http_server_settings.h"
#include "online/types/caller.h"

namespace lentilhead::online {

/// Settings `[entry]` and `[[caller]]`: the callers' listener, admission, retries, at-most-once
/// records and shutdown.
class OnlineSettings {
 public:
  static OnlineSettings Read(framework::SettingsReader& reader);

  /// Settings of the callers' listener of one worker.
  [[nodiscard]] framework::HttpServerSettings Listener() const;

  std::string caller_address = "127.0.0.1:0";        ///< `entry.caller_address`, `ip:port`
  int workers = 2;                                   ///< `entry.workers`
  std::size_t max_body_bytes = 4 << 20;              ///< `entry.max_body_bytes`
  std::size_t max_header_bytes = 32 << 10;           ///< `entry.max_header_bytes`
  std::size_t max_answer_bytes = 8 << 20;            ///< `entry.max_answer_bytes`
  std::size_t max_connections = 4096;                ///< `entry.max_connections`, per worker
  std::chrono::milliseconds header_timeout{10'000};  ///< `entry.header_timeout_ms`
  std::string tls_certificate_file;                  ///< `entry.tls_certificate_file`
  std::string tls_key_file;                          ///< `entry.tls_key_file`

  std::chrono::milliseconds request_timeout{120'000};      ///< `entry.request_timeout_ms`
  std::chrono::milliseconds max_request_timeout{600'000};  ///< `entry.max_request_timeout_ms`
  std::chrono::milliseconds first_token_timeout{30'000};   ///< `entry.first_token_timeout_ms`
  std::chrono::milliseconds token_timeout{30'000};         ///< `entry.token_timeout_ms`

  int max_queue = 1024;                       ///< `entry.max_queue`, per service
  std::chrono::milliseconds max_wait{5'000};  ///< `entry.max_wait_ms`
  int endpoint_queue = 1;  ///< `entry.endpoint_queue`, requests per endpoint in excess of its slots
  int quantum = 512;       ///< `entry.quantum`, tokens per caller and round

  int max_attempts = 4;                                  ///< `entry.max_attempts`
  double retry_share = 0.1;                              ///< `entry.retry_share`
  double retry_burst = 64;                               ///< `entry.retry_burst`
  std::chrono::milliseconds retry_first_delay{20};       ///< `entry.retry_first_delay_ms`
  std::chrono::milliseconds retry_longest_delay{1'000};  ///< `entry.retry_longest_delay_ms`

  /// `entry.intent_patience_ms`; longest wait for a write of a record before the caller is
  /// answered.
  std::chrono::milliseconds intent_patience{1'000};
  std::chrono::milliseconds intent_send_bound{5'000};      ///< `entry.intent_send_bound_ms`
  std::chrono::milliseconds intent_retention{86'400'000};  ///< `entry.intent_retention_ms`
  std::size_t intent_answer_bytes = 24 << 10;              ///< `entry.intent_answer_bytes`

  /// `entry.drain_lag_ms`; time for the balancer to notice that the instance is leaving.
  std::chrono::milliseconds drain_lag{5'000};
  std::chrono::milliseconds drain_limit{60'000};   ///< `entry.drain_limit_ms`
  std::chrono::milliseconds reload_period{1'000};  ///< `entry.reload_period_ms`

  std::vector<Caller> callers;  ///< `[[caller]]`
};

}  // namespace lentilhead::online
