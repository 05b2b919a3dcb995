#include "sheet/sheet_store.h"

#include <utility>

#include "framework/hash.h"
#include "sheet/internal/sheet_rows.h"
#include "sheet/internal/sheet_submission.h"
#include "sheet/sheet_parser.h"

namespace lentilhead::sheet {

using datastore::TableErrorKind;
using datastore::TableRow;
using framework::Reply;

namespace {

using SheetReply = Reply<std::shared_ptr<const AcceptedSheet>, SheetStoreError>;

SheetStoreError Unavailable(std::string detail) {
  return {SheetStoreErrorKind::kUnavailable, 0, "", std::move(detail)};
}

SheetStoreError InvalidBody(std::string detail) {
  return {SheetStoreErrorKind::kInvalidBody, 0, "", std::move(detail)};
}

/// Builds a sheet from its stored text.
SheetReply SheetOf(const SheetHistoryEntry& entry, std::string csv) {
  if (framework::Sha256Hex(csv) != entry.digest) {
    return InvalidBody("the digest differs");
  }
  return boost::leaf::try_handle_all(
      [&]() -> framework::Result<SheetReply> {
        BOOST_LEAF_AUTO(sheet, ParseSheet(csv));
        auto accepted = std::make_shared<AcceptedSheet>();
        accepted->revision = entry.revision;
        accepted->sheet = std::move(sheet);
        accepted->csv = std::move(csv);
        return SheetReply(std::shared_ptr<const AcceptedSheet>(std::move(accepted)));
      },
      [] { return SheetReply(InvalidBody("the sheet cannot be parsed")); });
}

}  // namespace

/// The clients that the store reads through, for callbacks that outlive a call.
class SheetStore::State : public std::enable_shared_from_this<State> {
 public:
  State(datastore::TableClient& table, datastore::ObjectStoreClient& objects,
        datastore::ResolvedWriter& writer)
      : table(table), objects(objects), writer(writer) {}

  using EntryHandler =
      std::function<void(Reply<std::optional<SheetHistoryEntry>, SheetStoreError>)>;

  /// Reads an entry; no value if the row does not exist.
  void FetchEntry(const char* partition, const std::string& key, EntryHandler handler);

  /// Reads the body of an entry.
  void FetchBody(const SheetHistoryEntry& entry, SheetHandler handler);

  /// Looks for a revision in the history, then in the current row.
  void FetchRevisionEntry(Revision revision, SheetHandler handler);

  datastore::TableClient& table;
  datastore::ObjectStoreClient& objects;
  datastore::ResolvedWriter& writer;
};

void SheetStore::State::FetchEntry(const char* partition, const std::string& key,
                                   EntryHandler handler) {
  this->table.Get(partition, key,
                  [weak = this->weak_from_this(), handler = std::move(handler)](auto reply) {
                    if (weak.expired()) {
                      return;
                    }
                    if (!reply && reply.Error().kind == TableErrorKind::kNotFound) {
                      handler(std::optional<SheetHistoryEntry>());
                      return;
                    }
                    if (!reply) {
                      handler(Unavailable(reply.Error().detail));
                      return;
                    }
                    auto entry = internal::ReadEntry(reply.Value());
                    if (!entry) {
                      handler(InvalidBody("the row of the sheet cannot be read"));
                      return;
                    }
                    handler(std::move(entry));
                  });
}

void SheetStore::State::FetchBody(const SheetHistoryEntry& entry, SheetHandler handler) {
  this->objects.Get(internal::BodyKey(entry.digest),
                    [entry, handler = std::move(handler)](auto reply) {
                      if (!reply && reply.Error().kind == datastore::ObjectErrorKind::kNotFound) {
                        handler(InvalidBody("the body is missing"));
                        return;
                      }
                      if (!reply) {
                        handler(Unavailable(reply.Error().detail));
                        return;
                      }
                      handler(SheetOf(entry, std::move(reply.Value())));
                    });
}

SheetStore::SheetStore(datastore::TableClient& table, datastore::ObjectStoreClient& objects,
                       datastore::ResolvedWriter& writer)
    : state(std::make_shared<State>(table, objects, writer)) {}

void SheetStore::Submit(std::string csv, Sheet sheet, Revision expected, std::string submitted_by,
                        SheetHandler handler) {
  auto accepted = std::make_shared<AcceptedSheet>();
  accepted->revision = expected + 1;
  accepted->csv = std::move(csv);
  accepted->sheet = std::move(sheet);
  auto guarded = [weak = std::weak_ptr<State>(this->state),
                  handler = std::move(handler)](SheetReply reply) {
    if (!weak.expired()) {
      handler(std::move(reply));
    }
  };
  auto submission = std::make_shared<internal::SheetSubmission>(
      this->state, this->state->table, this->state->objects, this->state->writer,
      std::move(accepted), std::move(submitted_by), std::move(guarded));
  submission->Start();
}

void SheetStore::FetchRevision(RevisionHandler handler) {
  this->state->FetchEntry(internal::kSheetPartition, internal::kCurrentKey,
                          [handler = std::move(handler)](auto reply) {
                            if (!reply) {
                              handler(reply.Error());
                              return;
                            }
                            handler(reply.Value() ? reply.Value()->revision : Revision{0});
                          });
}

void SheetStore::FetchCurrent(SheetHandler handler) {
  this->state->FetchEntry(
      internal::kSheetPartition, internal::kCurrentKey,
      [weak = std::weak_ptr<State>(this->state), handler = std::move(handler)](auto reply) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        if (!reply) {
          handler(reply.Error());
          return;
        }
        if (!reply.Value()) {
          handler(std::shared_ptr<const AcceptedSheet>());
          return;
        }
        self->FetchBody(*reply.Value(), handler);
      });
}

void SheetStore::Fetch(Revision revision, SheetHandler handler) {
  // The current row comes first: a revision that leaves it is in the history by then.
  this->state->FetchEntry(internal::kSheetPartition, internal::kCurrentKey,
                          [weak = std::weak_ptr<State>(this->state), revision,
                           handler = std::move(handler)](auto reply) {
                            const auto self = weak.lock();
                            if (!self) {
                              return;
                            }
                            if (!reply) {
                              handler(reply.Error());
                              return;
                            }
                            if (reply.Value() && reply.Value()->revision == revision) {
                              self->FetchBody(*reply.Value(), handler);
                              return;
                            }
                            self->FetchRevisionEntry(revision, handler);
                          });
}

void SheetStore::State::FetchRevisionEntry(Revision revision, SheetHandler handler) {
  this->FetchEntry(
      internal::kHistoryPartition, internal::HistoryKey(revision),
      [weak = this->weak_from_this(), handler = std::move(handler)](auto reply) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        if (!reply) {
          handler(reply.Error());
          return;
        }
        if (!reply.Value()) {
          handler(SheetStoreError{SheetStoreErrorKind::kNotFound, 0, "", "unknown revision"});
          return;
        }
        self->FetchBody(*reply.Value(), handler);
      });
}

void SheetStore::FetchHistory(HistoryHandler handler) {
  // The current row is read before the history, so that no accepted revision is missed.
  this->state->FetchEntry(
      internal::kSheetPartition, internal::kCurrentKey,
      [weak = std::weak_ptr<State>(this->state), handler = std::move(handler)](auto current) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        if (!current) {
          handler(current.Error());
          return;
        }
        self->table.Query(
            internal::kHistoryPartition, [current = current.Value(), handler](auto reply) {
              if (!reply) {
                handler(Unavailable(reply.Error().detail));
                return;
              }
              std::vector<SheetHistoryEntry> history;
              for (const TableRow& row : reply.Value()) {
                if (auto entry = internal::ReadEntry(row)) {
                  history.push_back(*std::move(entry));
                }
              }
              if (current && (history.empty() || history.back().revision < current->revision)) {
                history.push_back(*current);
              }
              std::reverse(history.begin(), history.end());
              handler(std::move(history));
            });
      });
}

}  // namespace lentilhead::sheet
