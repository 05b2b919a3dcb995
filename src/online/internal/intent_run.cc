#include "online/internal/intent_run.h"

#include <utility>

#include "framework/hash.h"
#include "online/internal/answer_writer.h"

namespace lentilhead::online::internal {

namespace {

constexpr std::chrono::milliseconds kOutcomeWriteTimeout{60'000};

IntentPolicy PolicyOf(const OnlineSettings& settings) {
  return {settings.intent_send_bound, settings.max_request_timeout + settings.intent_send_bound,
          settings.intent_retention, settings.intent_answer_bytes};
}

}  // namespace

struct IntentRun::Visitor {
  IntentRun& run;

  void operator()(const WriteRow& write) const { this->run.Write(write); }
  void operator()(const ReadRow& read) const { this->run.Read(read); }
  void operator()(const SendCall& /*send*/) const { this->run.Send(); }
  void operator()(const RespondAnswer& respond) const { this->run.Respond(respond); }
  void operator()(const RespondRefusal& respond) const {
    WriteRefusal(*this->run.exchange, respond.refusal, this->run.resources.metrics);
  }
};

IntentRun::IntentRun(WorkerResources& resources, Call call,
                     std::shared_ptr<framework::HttpExchange> exchange,
                     std::function<void()> on_ended)
    : resources(resources),
      call(std::move(call)),
      exchange(std::move(exchange)),
      on_ended(std::move(on_ended)),
      machine(PolicyOf(resources.settings), this->call.row_key, framework::RandomId(),
              this->call.digest) {}

void IntentRun::Start() { this->Apply(this->machine.Start(this->Now())); }

void IntentRun::Abort() {
  this->aborted = true;
  if (this->run) {
    this->run->Interrupt(DrainLimitReached{});
    return;
  }
  WriteRefusal(*this->exchange, {RefusalReason::kDrainLimit, Outcome::kUnknown, std::nullopt},
               this->resources.metrics);
}

IntentMachine::Times IntentRun::Now() const {
  return {this->resources.timers.Now(), this->resources.timers.WallNow()};
}

void IntentRun::Handle(const IntentEvent& event) {
  this->Apply(this->machine.Handle(event, this->Now()));
}

void IntentRun::Apply(const IntentEffects& effects) {
  const std::shared_ptr<IntentRun> keep_alive = this->shared_from_this();
  for (const IntentEffect& effect : effects) {
    std::visit(Visitor{*this}, effect);
  }
  if (!this->machine.Ended() || !this->on_ended) {
    return;
  }
  this->record_wait.Cancel();
  const auto callback = std::exchange(this->on_ended, nullptr);
  callback();
}

void IntentRun::Write(const WriteRow& write) {
  if (write.outcome) {
    this->record_wait = this->resources.timers.After(this->resources.settings.intent_patience,
                                                     [this] { this->Handle(RecordWaitElapsed{}); });
  }
  const auto timeout =
      write.outcome ? kOutcomeWriteTimeout : this->resources.settings.intent_patience;
  this->resources.writer.Write(write.row, datastore::WritePriority::kIntent, timeout,
                               [self = this->shared_from_this()](auto reply) {
                                 if (reply) {
                                   self->Handle(RowWritten{reply.Value()});
                                 } else {
                                   self->Handle(RowNotWritten{reply.Error().kind});
                                 }
                               });
}

void IntentRun::Read(const ReadRow& read) {
  this->resources.table.Get(read.partition, read.key,
                            [self = this->shared_from_this()](auto reply) {
                              if (reply) {
                                self->Handle(RowRead{reply.Value()});
                              } else {
                                self->Handle(RowNotRead{reply.Error().kind});
                              }
                            });
}

void IntentRun::Send() {
  if (this->aborted) {
    this->Handle(RunRefused{{RefusalReason::kDrainLimit, Outcome::kNotRun, std::nullopt}});
    return;
  }
  this->run = std::make_shared<RequestRun>(
      this->resources, this->call.request, this->call.policy,
      [weak = this->weak_from_this()](AttemptEffect& effect) {
        if (const auto self = weak.lock()) {
          self->OnAttemptEffect(effect);
        }
      },
      [] {});
  this->run->Start();
}

void IntentRun::OnAttemptEffect(AttemptEffect& effect) {
  if (auto* answer = std::get_if<WholeAnswer>(&effect)) {
    this->Handle(RunAnswered{std::move(*answer)});
  } else if (const auto* refuse = std::get_if<Refuse>(&effect)) {
    this->Handle(RunRefused{refuse->refusal});
  }
}

void IntentRun::Respond(const RespondAnswer& respond) {
  if (respond.replayed) {
    this->resources.metrics.replayed.Add();
    this->exchange->SetHeader("X-Idempotent-Replay", "true");
  }
  this->resources.metrics.CountCompleted(this->call.request.route.service);
  WriteWholeAnswer(*this->exchange, respond.answer);
}

}  // namespace lentilhead::online::internal
