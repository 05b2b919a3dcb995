#include "fleet/internal/drain_store.h"

#include <optional>
#include <utility>

namespace lentilhead::fleet::internal {

namespace {

using datastore::TableError;
using datastore::TableErrorKind;
using datastore::TableRow;

constexpr char kPartition[] = "operator";
constexpr char kRowKey[] = "drains";
constexpr int kMaxAttempts = 16;
constexpr std::chrono::milliseconds kWriteTimeout{5'000};

const char* FieldOf(DrainTarget target) {
  return target == DrainTarget::kEndpoint ? "endpoints" : "instances";
}

DrainError FromTable(const TableError& error) {
  switch (error.kind) {
    case TableErrorKind::kConflict:
      return {DrainErrorKind::kContended, error.detail};
    case TableErrorKind::kOutcomeUnknown:
      return {DrainErrorKind::kOutcomeUnknown, error.detail};
    case TableErrorKind::kInvalidAnswer:
      return {DrainErrorKind::kInvalidRow, error.detail};
    case TableErrorKind::kNotFound:
    case TableErrorKind::kThrottled:
    case TableErrorKind::kUnavailable:
    case TableErrorKind::kBudgetExhausted:
      return {DrainErrorKind::kUnavailable, error.detail};
  }
  return {DrainErrorKind::kUnavailable, error.detail};
}

TableRow EmptyRow() {
  TableRow row;
  row.partition = kPartition;
  row.key = kRowKey;
  row.value = {{"revision", std::uint64_t{0}},
               {"endpoints", nlohmann::json::object()},
               {"instances", nlohmann::json::object()}};
  return row;
}

bool IsValid(const nlohmann::json& value) {
  return value.is_object() && value.contains("revision") &&
         value["revision"].is_number_unsigned() && value.contains("endpoints") &&
         value["endpoints"].is_object() && value.contains("instances") &&
         value["instances"].is_object();
}

framework::Reply<DrainState, DrainError> DrainStateOf(const TableRow& row) {
  if (!IsValid(row.value)) {
    return DrainError{DrainErrorKind::kInvalidRow, row.key};
  }
  DrainState state;
  state.revision = row.value["revision"].get<std::uint64_t>();
  for (const auto& [name, change] : row.value["endpoints"].items()) {
    state.endpoints.insert(name);
  }
  for (const auto& [name, change] : row.value["instances"].items()) {
    state.instances.insert(name);
  }
  return state;
}

void ApplyTo(nlohmann::json& value, const DrainChange& change, std::int64_t unix_time_ms) {
  nlohmann::json& entries = value[FieldOf(change.target)];
  if (change.drained) {
    entries[change.name] = {{"by", change.changed_by}, {"at_ms", unix_time_ms}};
  } else {
    entries.erase(change.name);
  }
  value["revision"] = value["revision"].get<std::uint64_t>() + 1;
}

}  // namespace

DrainStore::DrainStore(datastore::TableClient& table, datastore::ResolvedWriter& writer,
                       framework::TimerService& timers)
    : table(table), writer(writer), timers(timers) {}

void DrainStore::Fetch(Handler handler) {
  this->table.Get(kPartition, kRowKey, [handler = std::move(handler)](auto reply) {
    if (reply) {
      handler(DrainStateOf(reply.Value()));
      return;
    }
    if (reply.Error().kind == TableErrorKind::kNotFound) {
      handler(DrainState{});
      return;
    }
    handler(FromTable(reply.Error()));
  });
}

void DrainStore::Change(DrainChange change, Handler handler) {
  this->TryChange(std::move(change), kMaxAttempts, std::move(handler));
}

void DrainStore::TryChange(DrainChange change, int attempts_left, Handler handler) {
  this->table.Get(
      kPartition, kRowKey,
      [self = shared_from_this(), change = std::move(change), attempts_left,
       handler = std::move(handler)](framework::Reply<TableRow, TableError> reply) mutable {
        const bool missing = !reply && reply.Error().kind == TableErrorKind::kNotFound;
        if (!reply && !missing) {
          // A failed read has not changed anything.
          handler(DrainError{DrainErrorKind::kUnavailable, reply.Error().detail});
          return;
        }
        self->Write(std::move(change), missing ? EmptyRow() : reply.Value(), attempts_left,
                    std::move(handler));
      });
}

void DrainStore::Write(DrainChange change, const TableRow& row, int attempts_left,
                       Handler handler) {
  const auto state = DrainStateOf(row);
  if (!state) {
    handler(state.Error());
    return;
  }
  if (row.value[FieldOf(change.target)].contains(change.name) == change.drained) {
    handler(state);
    return;
  }
  TableRow next = row;
  const auto wall = this->timers.WallNow().time_since_epoch();
  ApplyTo(next.value, change, std::chrono::duration_cast<std::chrono::milliseconds>(wall).count());
  this->writer.Write(
      std::move(next), datastore::WritePriority::kSheet, kWriteTimeout,
      [self = shared_from_this(), change = std::move(change), attempts_left,
       handler = std::move(handler)](framework::Reply<TableRow, TableError> reply) mutable {
        if (reply) {
          handler(DrainStateOf(reply.Value()));
          return;
        }
        if (reply.Error().kind == TableErrorKind::kConflict && attempts_left > 1) {
          self->TryChange(std::move(change), attempts_left - 1, std::move(handler));
          return;
        }
        handler(FromTable(reply.Error()));
      });
}

}  // namespace lentilhead::fleet::internal
