#pragma once

#include <chrono>
#include <cstddef>

#include "framework/settings_reader.h"

namespace lentilhead::batch {

/// Section `[batch]` of the settings: jobs, their leases, and how batch work shares endpoints with
/// online work.
class BatchSettings {
 public:
  static BatchSettings Read(framework::SettingsReader& reader);

  /// `batch.policy_weight`: 0 favours online latency, 1 favours batch throughput.
  double policy_weight = 0.5;
  int shards = 32;                       ///< `batch.shards`; must be equal on all instances.
  std::size_t max_items = 80'000;        ///< `batch.max_items`; items of one job.
  std::size_t max_line_bytes = 1 << 20;  ///< `batch.max_line_bytes`
  int segment_items = 256;               ///< `batch.segment_items`; items stored in one object.
  int max_attempts = 3;                  ///< `batch.max_attempts`; attempts at one item.
  int window_items =
      256;  ///< `batch.window_items`; items of a job that may be granted without a durable result.
  std::size_t commit_items = 1'024;  ///< `batch.commit_items`; results that start a commit.
  std::size_t max_uncommitted_bytes = 64 << 20;     ///< `batch.max_uncommitted_bytes`
  std::chrono::milliseconds commit_period{2'000};   ///< `batch.commit_period_ms`
  std::chrono::milliseconds lease_lifetime{9'000};  ///< `batch.lease_lifetime_ms`
  std::chrono::milliseconds scan_period{500};       ///< `batch.scan_period_ms`
  std::chrono::milliseconds grant_lifetime{3'000};  ///< `batch.grant_lifetime_ms`
  std::chrono::milliseconds load_period{50};        ///< `batch.load_period_ms`
  std::chrono::milliseconds burst_memory{
      600'000};  ///< `batch.burst_memory_ms`; time for which a burst is remembered.
  std::chrono::milliseconds item_timeout{600'000};         ///< `batch.item_timeout_ms`
  std::chrono::milliseconds default_deadline{86'400'000};  ///< `batch.default_deadline_ms`
  std::chrono::milliseconds retention{604'800'000};        ///< `batch.retention_ms`
  std::chrono::milliseconds upload_timeout{3'600'000};     ///< `batch.upload_timeout_ms`
};

}  // namespace lentilhead::batch
