#include "sheet/internal/sheet_submission.h"

#include <utility>

#include "framework/hash.h"
#include "sheet/internal/sheet_rows.h"

namespace lentilhead::sheet::internal {

using datastore::TableErrorKind;
using datastore::TableRow;
using datastore::WritePriority;

namespace {

constexpr int kMaxRetries = 6;
constexpr std::chrono::milliseconds kFirstDelay{50};
constexpr std::chrono::milliseconds kLongestDelay{500};
constexpr std::chrono::milliseconds kPatience{10'000};

SheetStoreErrorKind KindOf(TableErrorKind kind) {
  return kind == TableErrorKind::kOutcomeUnknown ? SheetStoreErrorKind::kOutcomeUnknown
                                                 : SheetStoreErrorKind::kUnavailable;
}

}  // namespace

SheetSubmission::SheetSubmission(std::weak_ptr<const void> store, datastore::TableClient& table,
                                 datastore::ObjectStoreClient& objects,
                                 datastore::ResolvedWriter& writer,
                                 std::shared_ptr<const AcceptedSheet> accepted,
                                 std::string submitted_by, SheetStore::SheetHandler handler)
    : store(std::move(store)),
      table(table),
      objects(objects),
      writer(writer),
      accepted(std::move(accepted)),
      handler(std::move(handler)),
      backoff(kFirstDelay, kLongestDelay, framework::Hash(this->accepted->csv)),
      retries_left(kMaxRetries) {
  this->entry.revision = this->accepted->revision;
  this->entry.submitted_by = std::move(submitted_by);
  this->entry.accepted_at = writer.Timers().WallNow();
  this->entry.digest = framework::Sha256Hex(this->accepted->csv);
}

void SheetSubmission::Start() { this->PutBody(); }

void SheetSubmission::PutBody() {
  this->objects.Put(BodyKey(this->entry.digest), this->accepted->csv,
                    [self = this->shared_from_this()](auto reply) {
                      if (reply) {
                        self->ReadCurrent();
                        return;
                      }
                      self->Retry(&SheetSubmission::PutBody, reply.Error().detail);
                    });
}

void SheetSubmission::ReadCurrent() {
  this->table.Get(kSheetPartition, kCurrentKey, [self = this->shared_from_this()](auto reply) {
    if (reply) {
      self->RecordCurrent(reply.Value());
      return;
    }
    if (reply.Error().kind != TableErrorKind::kNotFound) {
      self->Retry(&SheetSubmission::ReadCurrent, reply.Error().detail);
      return;
    }
    if (self->entry.revision != 1) {
      self->handler(
          SheetStoreError{SheetStoreErrorKind::kConflict, 0, "", "no sheet has been accepted"});
      return;
    }
    self->ReplaceCurrent({kSheetPartition, kCurrentKey, "", nlohmann::json::object()});
  });
}

void SheetSubmission::RecordCurrent(const TableRow& current) {
  const auto previous = ReadEntry(current);
  if (!previous) {
    this->Fail(SheetStoreErrorKind::kInvalidBody, "the current row cannot be read");
    return;
  }
  if (previous->revision + 1 != this->entry.revision) {
    this->handler(SheetStoreError{SheetStoreErrorKind::kConflict, previous->revision,
                                  previous->submitted_by, "another revision is current"});
    return;
  }
  TableRow record{kHistoryPartition, HistoryKey(previous->revision), "", nlohmann::json::object()};
  PutEntry(record.value, *previous);
  this->writer.Write(std::move(record), WritePriority::kSheet, kPatience,
                     [self = this->shared_from_this(), current](auto reply) {
                       const bool exists =
                           !reply && reply.Error().kind == TableErrorKind::kConflict;
                       if (!reply && !exists) {
                         self->Fail(SheetStoreErrorKind::kUnavailable, reply.Error().detail);
                         return;
                       }
                       self->ReplaceCurrent(current);
                     });
}

void SheetSubmission::ReplaceCurrent(TableRow current) {
  PutEntry(current.value, this->entry);
  this->writer.Write(std::move(current), WritePriority::kSheet, kPatience,
                     [self = this->shared_from_this()](auto reply) {
                       if (reply) {
                         self->handler(self->accepted);
                         return;
                       }
                       if (reply.Error().kind == TableErrorKind::kConflict) {
                         self->retries_left = kMaxRetries;
                         self->backoff.Reset();
                         self->ReportConflict();
                         return;
                       }
                       self->Fail(KindOf(reply.Error().kind), reply.Error().detail);
                     });
}

void SheetSubmission::ReportConflict() {
  this->table.Get(kSheetPartition, kCurrentKey, [self = this->shared_from_this()](auto reply) {
    if (!reply && self->retries_left > 0) {
      self->Retry(&SheetSubmission::ReportConflict, reply.Error().detail);
      return;
    }
    SheetStoreError error{SheetStoreErrorKind::kConflict, 0, "", "another submission won"};
    if (const auto winner = reply ? ReadEntry(reply.Value()) : std::nullopt) {
      error.current = winner->revision;
      error.current_by = winner->submitted_by;
    }
    self->handler(std::move(error));
  });
}

void SheetSubmission::Retry(void (SheetSubmission::*step)(), const std::string& detail) {
  if (this->retries_left == 0) {
    this->Fail(SheetStoreErrorKind::kUnavailable, detail);
    return;
  }
  this->retries_left -= 1;
  this->delay =
      this->writer.Timers().After(this->backoff.Next(), [self = this->shared_from_this(), step] {
        if (!self->store.expired()) {
          ((*self).*step)();
        }
      });
}

void SheetSubmission::Fail(SheetStoreErrorKind kind, std::string detail) {
  this->handler(SheetStoreError{kind, 0, "", std::move(detail)});
}

}  // namespace lentilhead::sheet::internal
