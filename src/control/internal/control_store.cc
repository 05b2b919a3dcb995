#include "control/internal/control_store.h"

#include <utility>

namespace lentilhead::control::internal {

namespace {

using datastore::TableError;
using datastore::TableErrorKind;
using datastore::TableRow;
using framework::Reply;
using std::chrono::milliseconds;

constexpr char kPartition[] = "control";
constexpr char kLeaseKey[] = "leader";
constexpr char kRecordKey[] = "rollout";
constexpr milliseconds kRecordWriteTimeout{3'000};

nlohmann::json ToJson(const LeaseRow& row) {
  return {{"holder", row.holder},
          {"run", row.run},
          {"epoch", row.epoch},
          {"renewal", row.renewal},
          {"released", row.released},
          {"duration_ms", row.duration.count()},
          {"longest_order_ms", row.max_order_duration.count()}};
}

Reply<std::optional<LeaseRow>, TableError> LeaseOf(const TableRow& stored) {
  try {
    LeaseRow row;
    row.etag = stored.etag;
    row.holder = stored.value.at("holder").get<std::string>();
    row.run = stored.value.at("run").get<std::string>();
    row.epoch = stored.value.at("epoch").get<std::uint64_t>();
    row.renewal = stored.value.at("renewal").get<std::uint64_t>();
    row.released = stored.value.at("released").get<bool>();
    row.duration = milliseconds(stored.value.at("duration_ms").get<std::int64_t>());
    row.max_order_duration = milliseconds(stored.value.at("longest_order_ms").get<std::int64_t>());
    return std::optional(row);
  } catch (const nlohmann::json::exception& error) {
    return TableError{TableErrorKind::kInvalidAnswer, error.what()};
  }
}

TableRow EmptyRecordRow() {
  TableRow row;
  row.partition = kPartition;
  row.key = kRecordKey;
  row.value = nlohmann::json::object();
  return row;
}

}  // namespace

ControlStore::ControlStore(datastore::TableClient& table, datastore::ResolvedWriter& writer)
    : table(table), writer(writer), record_row(std::make_shared<TableRow>(EmptyRecordRow())) {}

void ControlStore::ReadLease(LeaseHandler handler) {
  this->table.Get(kPartition, kLeaseKey,
                  [handler = std::move(handler)](const Reply<TableRow, TableError>& reply) {
                    if (reply) {
                      handler(LeaseOf(reply.Value()));
                    } else if (reply.Error().kind == TableErrorKind::kNotFound) {
                      handler(std::optional<LeaseRow>());
                    } else {
                      handler(reply.Error());
                    }
                  });
}

void ControlStore::WriteLease(const LeaseRow& row, milliseconds timeout, LeaseHandler handler) {
  TableRow stored;
  stored.partition = kPartition;
  stored.key = kLeaseKey;
  stored.etag = row.etag;
  stored.value = ToJson(row);
  this->writer.Write(std::move(stored), datastore::WritePriority::kLease, timeout,
                     [handler = std::move(handler)](const Reply<TableRow, TableError>& reply) {
                       if (reply) {
                         handler(LeaseOf(reply.Value()));
                       } else {
                         handler(reply.Error());
                       }
                     });
}

void ControlStore::ReadRecord(RecordHandler handler) {
  this->table.Get(kPartition, kRecordKey,
                  [row = this->record_row,
                   handler = std::move(handler)](const Reply<TableRow, TableError>& reply) {
                    if (!reply && reply.Error().kind != TableErrorKind::kNotFound) {
                      handler(reply.Error());
                      return;
                    }
                    *row = reply ? reply.Value() : EmptyRecordRow();
                    const auto record =
                        reply ? RecordFromJson(row->value) : std::optional(RolloutRecord{});
                    if (record) {
                      handler(*record);
                    } else {
                      handler(TableError{TableErrorKind::kInvalidAnswer, row->key});
                    }
                  });
}

void ControlStore::WriteRecord(const RolloutRecord& record, DoneHandler handler) {
  TableRow next = *this->record_row;
  next.value.update(internal::ToJson(record));
  this->writer.Write(std::move(next), datastore::WritePriority::kLease, kRecordWriteTimeout,
                     [row = this->record_row,
                      handler = std::move(handler)](const Reply<TableRow, TableError>& reply) {
                       if (!reply) {
                         handler(reply.Error());
                         return;
                       }
                       *row = reply.Value();
                       handler(framework::Done{});
                     });
}

}  // namespace lentilhead::control::internal
