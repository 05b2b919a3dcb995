#include "batch/internal/results_sender.h"

#include <utility>

#include "batch/internal/job_keys.h"

namespace lentilhead::batch::internal {

namespace {

constexpr int kMaxFailures = 10;
constexpr std::chrono::milliseconds kRetryDelay{300};

}  // namespace

ResultsSender::ResultsSender(ApiParts& parts, std::shared_ptr<framework::HttpExchange> exchange,
                             const JobRecord& record)
    : parts(parts), exchange(std::move(exchange)), state(NameOf(record.state)) {
  for (const CommitRange& range : record.commits) {
    for (std::uint64_t sequence = 1; sequence <= range.count; ++sequence) {
      this->keys.push_back(ResultsObject(record.id, range.epoch, sequence));
    }
  }
}

void ResultsSender::Start() {
  this->exchange->SetHeader("X-Job-State", this->state);
  if (this->keys.empty()) {
    this->exchange->Respond(200, "application/jsonl", "");
    return;
  }
  this->SendNext();
}

void ResultsSender::SendNext() {
  if (this->exchange->IsClosed()) {
    return;
  }
  if (this->keys.empty()) {
    this->exchange->FinishStream();
    return;
  }
  this->parts.objects.Get(this->keys.front(), [self = this->shared_from_this()](auto reply) {
    self->OnObject(reply.HasValue(), reply ? reply.Value() : std::string());
  });
}

void ResultsSender::OnObject(bool read, const std::string& body) {
  if (read) {
    this->failures = 0;
    this->keys.pop_front();
    if (!this->exchange->IsResponding()) {
      this->exchange->StartStream(200, "application/jsonl");
    }
    this->exchange->WriteChunk(body);
    this->SendNext();
    return;
  }
  this->failures += 1;
  if (this->failures < kMaxFailures) {
    this->retry = this->parts.timers.After(
        kRetryDelay, [raw = this, self = this->shared_from_this()] { raw->SendNext(); });
    return;
  }
  if (!this->exchange->IsResponding()) {
    RefuseUnavailable(this->parts, *this->exchange, "not_run");
    return;
  }
  this->parts.metrics.GetCounter("batch_refusals_total", {{"reason", "results_cut"}}).Add();
  this->exchange->Abort();
}

}  // namespace lentilhead::batch::internal
