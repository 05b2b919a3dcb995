#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "batch/internal/batch_parts.h"
#include "batch/internal/open_entry.h"
#include "batch/types/job_record.h"

namespace lentilhead::batch::internal {

/// Removes data that is no longer needed: items of ended jobs and abandoned uploads, result objects
/// that were never committed, and expired jobs. Every step can be repeated.
class GarbageCollector {
 public:
  using Done = std::function<void(bool complete)>;

  explicit GarbageCollector(BatchParts& parts);

  /// Lists a job as ended, then removes its items, uncommitted result objects and open entries.
  /// @param entries all open entries of the job.
  void CleanUpEndedJob(const JobRecord& record, const std::vector<OpenEntry>& entries, Done done);

  /// Removes an upload that no job refers to.
  void RemoveUpload(const OpenEntry& entry, Done done);

  /// Removes a job whose retention period has passed, including its results.
  void RemoveExpired(const EndedEntry& entry, Done done);

 private:
  void RemoveEntries(std::vector<OpenEntry> entries, Done done);
  void RemoveResults(const datastore::TableRow& row, const EndedEntry& entry, Done done);
  void RemoveRows(const datastore::TableRow& row, const EndedEntry& entry, const Done& done);

  /// Deletes objects, a few at a time.
  void DeleteObjects(std::vector<std::string> keys, Done done);

  BatchParts& parts;
};

}  // namespace lentilhead::batch::internal
