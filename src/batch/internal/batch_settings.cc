#include "batch/batch_settings.h"

namespace lentilhead::batch {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::int64_t kMaxItems = 1'000'000;
constexpr std::int64_t kMaxBytes = std::int64_t{1} << 32;

void ReadTimes(framework::SettingsReader& reader, BatchSettings& settings) {
  const auto read = [&](const char* key, milliseconds& value, milliseconds low, milliseconds high) {
    value = reader.Milliseconds(key, value, low, high);
  };
  read("batch.commit_period_ms", settings.commit_period, milliseconds(10), minutes(1));
  read("batch.lease_lifetime_ms", settings.lease_lifetime, milliseconds(500), minutes(5));
  read("batch.scan_period_ms", settings.scan_period, milliseconds(50), seconds(30));
  read("batch.grant_lifetime_ms", settings.grant_lifetime, milliseconds(200), minutes(1));
  read("batch.load_period_ms", settings.load_period, milliseconds(10), seconds(10));
  read("batch.burst_memory_ms", settings.burst_memory, seconds(1), hours(24));
  read("batch.item_timeout_ms", settings.item_timeout, milliseconds(100), hours(24));
  read("batch.default_deadline_ms", settings.default_deadline, seconds(1), hours(24 * 30));
  read("batch.retention_ms", settings.retention, seconds(1), hours(24 * 365));
  read("batch.upload_timeout_ms", settings.upload_timeout, seconds(1), hours(24));
}

}  // namespace

BatchSettings BatchSettings::Read(framework::SettingsReader& reader) {
  BatchSettings settings;
  const auto integer = [&](const char* key, auto& value, std::int64_t low, std::int64_t high) {
    using Value = std::remove_reference_t<decltype(value)>;
    value = static_cast<Value>(reader.Integer(key, static_cast<std::int64_t>(value), low, high));
  };
  settings.policy_weight = reader.Number("batch.policy_weight", settings.policy_weight, 0, 1);
  integer("batch.shards", settings.shards, 1, 4'096);
  integer("batch.max_items", settings.max_items, 1, kMaxItems);
  integer("batch.max_line_bytes", settings.max_line_bytes, 256, kMaxBytes);
  integer("batch.segment_items", settings.segment_items, 1, 4'096);
  integer("batch.max_attempts", settings.max_attempts, 1, 100);
  integer("batch.window_items", settings.window_items, 1, kMaxItems);
  integer("batch.commit_items", settings.commit_items, 1, kMaxItems);
  integer("batch.max_uncommitted_bytes", settings.max_uncommitted_bytes, 1 << 16, kMaxBytes);
  ReadTimes(reader, settings);
  return settings;
}

}  // namespace lentilhead::batch
