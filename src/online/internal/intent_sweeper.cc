#include "online/internal/intent_sweeper.h"

#include "framework/hash.h"
#include "online/internal/intent_record.h"

namespace lentilhead::online::internal {

namespace {

constexpr std::chrono::seconds kSweepPeriod{60};
constexpr int kMaxDeletesPerSweep = 32;

}  // namespace

IntentSweeper::IntentSweeper(datastore::TableClient& table, framework::TimerService& timers,
                             framework::Metrics& metrics)
    : table(table),
      timers(timers),
      deleted(metrics.GetCounter("online_expired_intents_total")),
      partition(static_cast<int>(framework::Hash(framework::RandomId()) % kIntentPartitions)),
      timer(timers.Every(kSweepPeriod, [this] { this->SweepNext(); })) {}

void IntentSweeper::SweepNext() {
  this->partition = (this->partition + 1) % kIntentPartitions;
  this->table.Query(IntentPartition(this->partition), [this](auto reply) {
    if (reply) {
      this->DeleteExpired(reply.Value());
    }
  });
}

void IntentSweeper::DeleteExpired(const std::vector<datastore::TableRow>& rows) {
  int deletes = 0;
  for (const datastore::TableRow& row : rows) {
    const auto record = ReadIntent(row.value);
    if (!record || record->expires_at > this->timers.WallNow()) {
      continue;
    }
    this->table.Delete(row.partition, row.key, row.etag, [this](auto reply) {
      if (reply) {
        this->deleted.Add();
      }
    });
    deletes += 1;
    if (deletes >= kMaxDeletesPerSweep) {
      return;
    }
  }
}

}  // namespace lentilhead::online::internal
