#include "datastore/tests/resolution_world.h"

#include <array>
#include <utility>

namespace lentilhead::datastore {

using framework::Reply;
using internal::WriteStep;
using standin::TableStatus;

namespace {

constexpr int kRows = 4;
constexpr std::size_t kMaxOperations = 8;
constexpr const char* kPartition = "p";
constexpr const char* kWriter = "writer";
constexpr std::array<std::chrono::milliseconds, 3> kPatiences{
    std::chrono::milliseconds(0), std::chrono::milliseconds(40), std::chrono::milliseconds(400)};
constexpr int kMaxStepTime = 12;  // Milliseconds.

}  // namespace

void ResolutionWorld::Step() {
  this->now += std::chrono::milliseconds(this->random() % kMaxStepTime);
  if (this->Chance(1)) {
    this->down = !this->down;
  }
  if (this->Chance(2)) {
    this->DeleteRow();
  }
  if (this->operations.size() < kMaxOperations && (this->events.empty() || this->Chance(20))) {
    this->Begin();
    return;
  }
  const std::size_t chosen = this->random() % this->events.size();
  std::swap(this->events[chosen], this->events.back());
  Event event = std::move(this->events.back());
  this->events.pop_back();
  this->Handle(std::move(event));
}

void ResolutionWorld::Begin() {
  const std::string key = "r" + std::to_string(this->random() % kRows);
  TableRow row{kPartition, key, "", nlohmann::json::object()};
  if (const auto stored = this->table.Get(kPartition, key); stored && !this->Chance(10)) {
    row.etag = stored->etag;
    if (this->Chance(80)) {
      row.value = nlohmann::json::parse(stored->value);
    }
  }
  const std::uint64_t id = ++this->last_operation;
  internal::WriteResolution resolution(row, {kWriter, id, ""}, this->now,
                                       kPatiences[this->random() % kPatiences.size()]);
  Operation& operation =
      this->operations.emplace(id, Operation{std::move(resolution), id}).first->second;
  this->Follow(operation, operation.resolution.Begin());
}

void ResolutionWorld::DeleteRow() {
  const std::string key = "r" + std::to_string(this->random() % kRows);
  if (!this->HasInsertInFlight(key)) {
    this->table.Delete(kPartition, key, "*");
  }
}

bool ResolutionWorld::HasInsertInFlight(const std::string& key) const {
  for (const Event& event : this->events) {
    if (event.row.key == key && event.row.etag.empty()) {
      return true;
    }
  }
  for (const auto& [id, operation] : this->operations) {
    const TableRow& row = operation.resolution.Row();
    if (row.key == key && row.etag.empty()) {
      return true;
    }
  }
  return false;
}

void ResolutionWorld::Handle(Event event) {
  switch (event.kind) {
    case EventKind::kReachTable:
    case EventKind::kReachTableUnanswered:
      return this->Apply(event);
    case EventKind::kReadTable:
      return this->ReadBack(event);
    case EventKind::kAnswer:
      return this->Answer(event);
    case EventKind::kWaited: {
      const auto found = this->operations.find(event.operation);
      return this->Follow(found->second, found->second.resolution.OnWaited());
    }
  }
}

void ResolutionWorld::Apply(Event& event) {
  Reply<TableRow, TableError> reply = TableError{TableErrorKind::kOutcomeUnknown, "down"};
  if (!this->down) {
    reply = this->WriteTo(event.row);
    if (this->Chance(15)) {
      reply = TableError{TableErrorKind::kOutcomeUnknown, "answer lost"};
    }
  }
  if (event.kind == EventKind::kReachTable) {
    this->events.push_back({EventKind::kAnswer, event.operation, event.attempt, std::move(reply)});
  }
}

void ResolutionWorld::ReadBack(Event& event) {
  Reply<TableRow, TableError> reply = TableError{TableErrorKind::kUnavailable, "down"};
  if (!this->down && !this->Chance(10)) {
    reply = this->ReadFrom(event.row.key);
  }
  this->events.push_back(
      {EventKind::kAnswer, event.operation, event.attempt, std::move(reply), true});
}

void ResolutionWorld::Answer(const Event& event) {
  const auto found = this->operations.find(event.operation);
  if (found == this->operations.end() || found->second.awaited != event.attempt) {
    return;
  }
  internal::WriteResolution& resolution = found->second.resolution;
  this->Follow(found->second, event.answers_read ? resolution.OnRead(*event.reply, this->now)
                                                 : resolution.OnWritten(*event.reply, this->now));
}

void ResolutionWorld::Follow(Operation& operation, const WriteStep& step) {
  if (std::holds_alternative<internal::SendWrite>(step)) {
    this->Send(operation);
  } else if (std::holds_alternative<internal::SendRead>(step)) {
    this->events.push_back({.kind = EventKind::kReadTable,
                            .operation = operation.id,
                            .attempt = ++operation.awaited,
                            .row = operation.resolution.Row()});
  } else if (std::holds_alternative<internal::WaitThen>(step)) {
    this->events.push_back({EventKind::kWaited, operation.id});
  } else {
    this->Finish(operation, std::get<internal::FinishWrite>(step));
  }
}

void ResolutionWorld::Send(Operation& operation) {
  if (this->Chance(5)) {
    const std::chrono::milliseconds available_in(this->random() % 50);
    this->Follow(operation, operation.resolution.OnBudgetRefused(this->now, available_in));
    return;
  }
  Event answer{EventKind::kAnswer, operation.id, ++operation.awaited};
  if (this->Chance(10)) {
    const bool throttled = this->Chance(50);
    answer.reply = TableError{throttled ? TableErrorKind::kThrottled : TableErrorKind::kUnavailable,
                              "not sent"};
    this->events.push_back(std::move(answer));
    return;
  }
  Event request{.kind = EventKind::kReachTable,
                .operation = operation.id,
                .attempt = operation.awaited,
                .row = operation.resolution.Row()};
  if (this->Chance(15)) {
    // The caller gives up waiting while the request is still on its way.
    request.kind = EventKind::kReachTableUnanswered;
    answer.reply = TableError{TableErrorKind::kOutcomeUnknown, "timeout"};
    this->events.push_back(std::move(answer));
  }
  this->events.push_back(std::move(request));
}

Reply<TableRow, TableError> ResolutionWorld::WriteTo(const TableRow& row) {
  const std::string text = row.value.dump();
  const auto result = row.etag.empty()
                          ? this->table.Insert(row.partition, row.key, text)
                          : this->table.Replace(row.partition, row.key, row.etag, text);
  if (result.status == TableStatus::kNotFound) {
    return TableError{TableErrorKind::kNotFound, ""};
  }
  if (result.status != TableStatus::kDone) {
    return TableError{TableErrorKind::kConflict, ""};
  }
  const std::uint64_t id = internal::ReadStamp(row.value)->sequence;
  if (++this->applied[id] > 1) {
    this->violation = "write applied twice: " + std::to_string(id);
  }
  if (this->refused.contains(id)) {
    this->violation = "write applied after it was reported as not applied: " + std::to_string(id);
  }
  TableRow stored = row;
  stored.etag = result.etag;
  return stored;
}

Reply<TableRow, TableError> ResolutionWorld::ReadFrom(const std::string& key) {
  const auto stored = this->table.Get(kPartition, key);
  if (!stored) {
    return TableError{TableErrorKind::kNotFound, ""};
  }
  return TableRow{kPartition, key, stored->etag, nlohmann::json::parse(stored->value)};
}

void ResolutionWorld::Finish(const Operation& operation, const internal::FinishWrite& end) {
  const std::uint64_t id = operation.id;
  const int times = this->applied[id];
  if (end.reply) {
    const auto stored = this->table.Get(kPartition, end.reply.Value().key);
    this->ends[stored && stored->etag == end.reply.Value().etag ? "stored" : "superseded"] += 1;
    if (times != 1) {
      this->violation = "success reported for a write not applied: " + std::to_string(id);
    }
  } else {
    const TableErrorKind kind = end.reply.Error().kind;
    this->ends[NameOf(kind)] += 1;
    if (kind != TableErrorKind::kOutcomeUnknown) {
      this->refused.insert(id);
      if (times != 0) {
        this->violation =
            std::string(NameOf(kind)) + " reported for an applied write: " + std::to_string(id);
      }
    }
  }
  this->operations.erase(id);
}

}  // namespace lentilhead::datastore
