#pragma once

namespace lentilhead::datastore {

/// Classes of table writes, most urgent first.
enum class WritePriority { kIntent, kSheet, kLease, kCommit, kProgress };

inline constexpr int kWritePriorityCount = 5;

}  // namespace lentilhead::datastore
