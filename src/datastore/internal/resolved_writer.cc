#include "datastore/resolved_writer.h"

#include <atomic>
#include <map>
#include <optional>
#include <utility>

#include "datastore/internal/write_resolution.h"

namespace lentilhead::datastore {

using framework::Reply;
using internal::WriteResolution;
using internal::WriteStep;

namespace {

/// One sequence for all writers of the process, since they may share a writer identifier.
std::uint64_t NextSequence() {
  static std::atomic<std::uint64_t> last{0};
  return last.fetch_add(1, std::memory_order_relaxed) + 1;
}

}  // namespace

class ResolvedWriter::State : public std::enable_shared_from_this<State> {
 public:
  State(std::string writer, TableClient& table, WriteBudget& budget,
        framework::TimerService& timers, framework::Metrics& metrics)
      : writer(std::move(writer)), table(table), budget(budget), timers(timers), metrics(metrics) {}

  void Start(TableRow row, WritePriority priority, std::chrono::milliseconds patience,
             TableClient::RowHandler handler);

  [[nodiscard]] framework::TimerService& Timers() const { return this->timers; }

 private:
  struct Write {
    Write(WriteResolution resolution, WritePriority priority, TableClient::RowHandler handler)
        : resolution(std::move(resolution)), priority(priority), handler(std::move(handler)) {}

    WriteResolution resolution;
    WritePriority priority;
    TableClient::RowHandler handler;
    framework::TimerSubscription timer;
  };

  void Follow(std::uint64_t id, WriteStep step);
  void Do(std::uint64_t id, internal::SendWrite step);
  void Do(std::uint64_t id, internal::SendRead step);
  void Do(std::uint64_t id, internal::WaitThen step);
  void Do(std::uint64_t id, internal::FinishWrite step);

  /// Handler of a table call that goes on with the write if the writer still exists.
  TableClient::RowHandler GoOn(std::uint64_t id, bool was_read);

  std::string writer;
  TableClient& table;
  WriteBudget& budget;
  framework::TimerService& timers;
  framework::Metrics& metrics;
  std::map<std::uint64_t, Write> writes;
};

void ResolvedWriter::State::Start(TableRow row, WritePriority priority,
                                  std::chrono::milliseconds patience,
                                  TableClient::RowHandler handler) {
  const std::uint64_t sequence = NextSequence();
  WriteResolution resolution(std::move(row), {this->writer, sequence, ""}, this->timers.Now(),
                             patience);
  Write write(std::move(resolution), priority, std::move(handler));
  // A refusal by the budget would otherwise call the handler inside Write().
  write.timer = this->timers.After(std::chrono::nanoseconds(0), [this, sequence] {
    this->Follow(sequence, this->writes.at(sequence).resolution.Begin());
  });
  this->writes.emplace(sequence, std::move(write));
}

void ResolvedWriter::State::Follow(std::uint64_t id, WriteStep step) {
  std::visit([this, id](auto& next) { this->Do(id, std::move(next)); }, step);
}

void ResolvedWriter::State::Do(std::uint64_t id, internal::SendWrite /*step*/) {
  Write& write = this->writes.at(id);
  const framework::MonotonicTime now = this->timers.Now();
  if (!this->budget.TryTake(write.priority, now)) {
    this->metrics.GetCounter("platform_write_retries_total", {{"reason", "budget"}}).Add();
    const auto available_in = this->budget.TimeUntil(write.priority, now);
    this->Follow(id, write.resolution.OnBudgetRefused(now, available_in));
    return;
  }
  const TableRow& row = write.resolution.Row();
  if (row.etag.empty()) {
    this->table.Insert(row, this->GoOn(id, false));
    return;
  }
  this->table.Replace(row, this->GoOn(id, false));
}

void ResolvedWriter::State::Do(std::uint64_t id, internal::SendRead /*step*/) {
  const TableRow& row = this->writes.at(id).resolution.Row();
  this->table.Get(row.partition, row.key, this->GoOn(id, true));
}

void ResolvedWriter::State::Do(std::uint64_t id, internal::WaitThen step) {
  this->writes.at(id).timer = this->timers.After(
      step.delay, [this, id] { this->Follow(id, this->writes.at(id).resolution.OnWaited()); });
}

void ResolvedWriter::State::Do(std::uint64_t id, internal::FinishWrite step) {
  auto node = this->writes.extract(id);
  const char* result = step.reply ? "stored" : NameOf(step.reply.Error().kind);
  this->metrics.GetCounter("platform_writes_total", {{"result", result}}).Add();
  node.mapped().handler(std::move(step.reply));
}

TableClient::RowHandler ResolvedWriter::State::GoOn(std::uint64_t id, bool was_read) {
  return [weak = this->weak_from_this(), id, was_read](const Reply<TableRow, TableError>& reply) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (!was_read && !reply) {
      self->metrics
          .GetCounter("platform_write_retries_total", {{"reason", NameOf(reply.Error().kind)}})
          .Add();
    }
    WriteResolution& resolution = self->writes.at(id).resolution;
    const framework::MonotonicTime now = self->timers.Now();
    self->Follow(id, was_read ? resolution.OnRead(reply, now) : resolution.OnWritten(reply, now));
  };
}

ResolvedWriter::ResolvedWriter(std::string writer, TableClient& table, WriteBudget& budget,
                               framework::TimerService& timers, framework::Metrics& metrics)
    : state(std::make_shared<State>(std::move(writer), table, budget, timers, metrics)) {}

ResolvedWriter::~ResolvedWriter() = default;

void ResolvedWriter::Write(TableRow row, WritePriority priority, std::chrono::milliseconds patience,
                           TableClient::RowHandler handler) {
  this->state->Start(std::move(row), priority, patience, std::move(handler));
}

framework::TimerService& ResolvedWriter::Timers() const { return this->state->Timers(); }

}  // namespace lentilhead::datastore
