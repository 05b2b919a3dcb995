#include "batch/internal/garbage_collector.h"

#include <algorithm>
#include <utility>

#include "batch/internal/job_keys.h"

namespace lentilhead::batch::internal {

namespace {

using datastore::TableErrorKind;

constexpr std::size_t kMaxConcurrentDeletes = 4;
constexpr std::chrono::milliseconds kWriteTimeout{5'000};

/// State of one DeleteObjects() call, shared by its callbacks.
struct Deletion {
  std::vector<std::string> keys;
  std::size_t next = 0;
  std::size_t in_flight = 0;
  bool failed = false;
  GarbageCollector::Done done;
};

void StartDeletes(datastore::ObjectStoreClient& objects,
                  const std::shared_ptr<Deletion>& deletion) {
  while (deletion->in_flight < kMaxConcurrentDeletes && deletion->next < deletion->keys.size()) {
    deletion->in_flight += 1;
    const std::string& key = deletion->keys[deletion->next++];
    objects.Delete(key, [&objects, deletion](auto reply) {
      deletion->in_flight -= 1;
      deletion->failed = deletion->failed || !reply;
      StartDeletes(objects, deletion);
    });
  }
  if (deletion->in_flight == 0 && deletion->next >= deletion->keys.size() && deletion->done) {
    std::exchange(deletion->done, nullptr)(!deletion->failed);
  }
}

/// Names of the result objects, one for each epoch, that may exist without being committed.
std::vector<std::string> UncommittedResults(const JobRecord& record) {
  std::vector<std::string> keys;
  for (std::uint64_t epoch = 1; epoch <= record.epoch; ++epoch) {
    const auto range = std::find_if(record.commits.begin(), record.commits.end(),
                                    [&](const CommitRange& known) { return known.epoch == epoch; });
    const std::uint64_t committed = range == record.commits.end() ? 0 : range->count;
    keys.push_back(ResultsObject(record.id, epoch, committed + 1));
  }
  return keys;
}

std::vector<std::string> ItemObjects(const std::string& job, const std::string& upload,
                                     std::size_t segments) {
  std::vector<std::string> keys;
  for (std::size_t segment = 0; segment < segments; ++segment) {
    keys.push_back(ItemsObject(job, upload, segment));
  }
  return keys;
}

}  // namespace

GarbageCollector::GarbageCollector(BatchParts& parts) : parts(parts) {}

void GarbageCollector::DeleteObjects(std::vector<std::string> keys, Done done) {
  this->parts.metrics.GetCounter("batch_garbage_objects_total").Add(keys.size());
  auto deletion = std::make_shared<Deletion>();
  deletion->keys = std::move(keys);
  deletion->done = std::move(done);
  StartDeletes(this->parts.objects, deletion);
}

void GarbageCollector::CleanUpEndedJob(const JobRecord& record,
                                       const std::vector<OpenEntry>& entries, Done done) {
  const int shard = ShardOf(record.id, this->parts.settings.shards);
  const EndedEntry ended{"", record.id, record.caller,
                         this->parts.timers.WallNow() + this->parts.settings.retention};
  const std::size_t segments =
      (record.items + record.segment_items - 1) / std::max<std::size_t>(record.segment_items, 1);
  std::vector<std::string> keys = UncommittedResults(record);
  for (const OpenEntry& entry : entries) {
    if (entry.kind == OpenEntryKind::kUpload) {
      const auto items = ItemObjects(record.id, entry.upload, segments);
      keys.insert(keys.end(), items.begin(), items.end());
    }
  }
  this->parts.writer.Write(
      ended.ToRow(shard), datastore::WritePriority::kProgress, kWriteTimeout,
      [this, entries, keys = std::move(keys), done = std::move(done)](auto reply) {
        if (!reply && reply.Error().kind != TableErrorKind::kConflict) {
          done(false);
          return;
        }
        this->DeleteObjects(keys, [this, entries, done](bool complete) {
          if (!complete) {
            done(false);
            return;
          }
          this->RemoveEntries(entries, done);
        });
      });
}

void GarbageCollector::RemoveEntries(std::vector<OpenEntry> entries, Done done) {
  if (entries.empty()) {
    done(true);
    return;
  }
  // Uploads are removed last, because without them the job could not be found again after a
  // failure.
  const auto next = std::find_if(entries.begin(), entries.end(), [](const OpenEntry& entry) {
    return entry.kind == OpenEntryKind::kCancel;
  });
  const auto chosen = next == entries.end() ? entries.begin() : next;
  const OpenEntry entry = *chosen;
  entries.erase(chosen);
  const int shard = ShardOf(entry.job, this->parts.settings.shards);
  this->parts.table.Delete(
      OpenPartition(shard), entry.key, entry.etag,
      [this, entries = std::move(entries), done = std::move(done)](auto reply) mutable {
        const bool removed = reply || reply.Error().kind == TableErrorKind::kNotFound;
        if (!removed) {
          done(false);
          return;
        }
        this->RemoveEntries(std::move(entries), std::move(done));
      });
}

void GarbageCollector::RemoveUpload(const OpenEntry& entry, Done done) {
  const BatchSettings& settings = this->parts.settings;
  const std::size_t segments =
      settings.max_items / static_cast<std::size_t>(settings.segment_items) + 1;
  this->DeleteObjects(ItemObjects(entry.job, entry.upload, segments),
                      [this, entry, done = std::move(done)](bool complete) {
                        if (!complete) {
                          done(false);
                          return;
                        }
                        this->RemoveEntries({entry}, done);
                      });
}

void GarbageCollector::RemoveExpired(const EndedEntry& entry, Done done) {
  this->parts.table.Get(JobPartition(entry.caller), entry.job,
                        [this, entry, done = std::move(done)](auto reply) {
                          if (reply) {
                            this->RemoveResults(reply.Value(), entry, done);
                          } else if (reply.Error().kind == TableErrorKind::kNotFound) {
                            this->RemoveRows({}, entry, done);
                          } else {
                            done(false);
                          }
                        });
}

void GarbageCollector::RemoveResults(const datastore::TableRow& row, const EndedEntry& entry,
                                     Done done) {
  std::vector<std::string> keys;
  boost::leaf::try_handle_all(
      [&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(record, JobRecord::FromJson(row.value));
        keys = UncommittedResults(record);
        for (const CommitRange& range : record.commits) {
          for (std::uint64_t sequence = 1; sequence <= range.count; ++sequence) {
            keys.push_back(ResultsObject(record.id, range.epoch, sequence));
          }
        }
        return {};
      },
      [] {});
  this->DeleteObjects(std::move(keys), [this, row, entry, done = std::move(done)](bool complete) {
    if (!complete) {
      done(false);
      return;
    }
    this->RemoveRows(row, entry, done);
  });
}

void GarbageCollector::RemoveRows(const datastore::TableRow& row, const EndedEntry& entry,
                                  const Done& done) {
  const auto remove_entry = [this, entry, done] {
    const int shard = ShardOf(entry.job, this->parts.settings.shards);
    this->parts.table.Delete(EndedPartition(shard), entry.job, entry.etag,
                             [done](auto reply) { done(reply.HasValue()); });
  };
  if (row.key.empty()) {
    remove_entry();
    return;
  }
  this->parts.table.Delete(row.partition, row.key, row.etag, [remove_entry, done](auto reply) {
    if (!reply && reply.Error().kind != TableErrorKind::kNotFound) {
      done(false);
      return;
    }
    remove_entry();
  });
}

}  // namespace lentilhead::batch::internal
