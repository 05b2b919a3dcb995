#include "online/tests/intent_simulation.h"

namespace lentilhead::online {

namespace {

using datastore::TableErrorKind;
using std::chrono::milliseconds;

constexpr int kKeys = 4'000;
constexpr int kSpanMs = 600'000;
constexpr int kMaxResends = 5;
constexpr int kOk = 200;
constexpr milliseconds kRecordWait{1'000};

internal::IntentPolicy PolicyOfIntents() {
  return {milliseconds(500), milliseconds(20'000), milliseconds(10'000'000), 1'024};
}

}  // namespace

struct IntentSimulation::EffectVisitor {
  IntentSimulation& simulation;
  const RequestRef& request;

  void operator()(const internal::WriteRow& write) const {
    this->simulation.Write(this->request, write);
  }
  void operator()(const internal::ReadRow& read) const {
    this->simulation.Read(this->request, read);
  }
  void operator()(const internal::SendCall& /*send*/) const {
    this->simulation.Send(this->request);
  }
  void operator()(const internal::RespondAnswer& respond) const {
    this->simulation.replayed += respond.replayed ? 1 : 0;
    this->simulation.OnResponse(this->request, Outcome::kCompleted, respond.answer.body);
  }
  void operator()(const internal::RespondRefusal& respond) const {
    this->simulation.OnResponse(this->request, respond.refusal.outcome, "");
  }
};

struct IntentSimulation::AttemptVisitor {
  IntentSimulation& simulation;
  const RequestRef& request;

  void operator()(const internal::SendAttempt& send) const {
    this->simulation.Attempt(this->request, send.attempt);
  }
  void operator()(const internal::WaitBackoff& wait) const {
    this->simulation.DeliverAttempt(this->request, wait.delay, internal::BackoffElapsed{});
  }
  void operator()(const internal::WholeAnswer& answer) const {
    this->simulation.Deliver(this->request, milliseconds(0), internal::RunAnswered{answer});
  }
  void operator()(const internal::Refuse& refuse) const {
    this->simulation.Deliver(this->request, milliseconds(0), internal::RunRefused{refuse.refusal});
  }
  template <class Other>
  void operator()(const Other& /*other*/) const {}
};

IntentSimulation::IntentSimulation(std::uint64_t seed, InjectedFault fault)
    : queue(seed), fault(fault) {
  for (int index = 0; index < kKeys; ++index) {
    this->queue.After(this->queue.RandomDelayUpTo(kSpanMs),
                      [this, key = "key-" + std::to_string(index)] {
                        this->Submit(key, this->queue.RandomBelow(kMaxResends));
                      });
  }
}

int IntentSimulation::Run(int max_steps) {
  int steps = 0;
  while (steps < max_steps && this->queue.RunNext()) {
    steps += 1;
  }
  for (const RequestRef& request : this->requests) {
    this->unanswered += !request->crashed && !this->auditor.HasResponse(request->id) ? 1 : 0;
  }
  return steps;
}

internal::IntentMachine::Times IntentSimulation::Now() const {
  return {this->queue.now, framework::WallTime(std::chrono::duration_cast<milliseconds>(
                               this->queue.now.time_since_epoch()))};
}

void IntentSimulation::Submit(const std::string& key, int resends) {
  const auto request = std::make_shared<Request>();
  request->id = this->next_request++;
  request->key = key;
  request->intent = std::make_unique<internal::IntentMachine>(
      PolicyOfIntents(), internal::RowKeyOf("caller", key), std::to_string(request->id), "digest");
  this->requests.push_back(request);
  this->Apply(request, request->intent->Start(this->Now()));
  this->MaybeCrashOrPause(request);
  if (resends > 0) {
    const int spread = this->queue.Chance(0.5) ? 20 : 30'000;
    this->queue.After(this->queue.RandomDelayUpTo(spread),
                      [this, key, resends] { this->Submit(key, resends - 1); });
  }
}

void IntentSimulation::MaybeCrashOrPause(const RequestRef& request) {
  if (this->queue.Chance(0.1)) {
    this->queue.After(this->queue.RandomDelayUpTo(100), [this, request] {
      this->crashed += 1;
      request->crashed = true;
    });
  }
  if (this->queue.Chance(0.1)) {
    this->queue.After(this->queue.RandomDelayUpTo(20), [this, request] {
      this->paused += 1;
      request->paused_until = this->queue.now + this->queue.RandomDelayUpTo(30'000);
    });
  }
}

void IntentSimulation::Deliver(const RequestRef& request, milliseconds delay,
                               const internal::IntentEvent& event) {
  this->queue.After(delay, [this, request, event] {
    if (request->crashed) {
      return;
    }
    if (request->paused_until > this->queue.now) {
      this->Deliver(
          request, std::chrono::ceil<milliseconds>(request->paused_until - this->queue.now), event);
      return;
    }
    this->Apply(request, request->intent->Handle(event, this->Now()));
  });
}

void IntentSimulation::DeliverAttempt(const RequestRef& request, milliseconds delay,
                                      const internal::AttemptEvent& event) {
  this->queue.After(delay, [this, request, event] {
    if (!request->crashed) {
      this->ApplyAttempt(request, request->attempts->Handle(event, this->queue.now));
    }
  });
}

void IntentSimulation::Apply(const RequestRef& request, const internal::IntentEffects& effects) {
  for (const internal::IntentEffect& effect : effects) {
    std::visit(EffectVisitor{*this, request}, effect);
  }
}

void IntentSimulation::ApplyAttempt(const RequestRef& request,
                                    const internal::AttemptEffects& effects) {
  for (const internal::AttemptEffect& effect : effects) {
    std::visit(AttemptVisitor{*this, request}, effect);
  }
}

void IntentSimulation::Write(const RequestRef& request, const internal::WriteRow& write) {
  if (write.outcome) {
    this->Deliver(request, kRecordWait, internal::RecordWaitElapsed{});
  }
  if (this->queue.Chance(0.1)) {
    this->Deliver(request, this->queue.RandomDelayUpTo(1'000),
                  internal::RowNotWritten{TableErrorKind::kUnavailable});
    return;
  }
  const bool lost = this->queue.Chance(0.1);
  if (lost && this->queue.Chance(0.5)) {
    // The write takes effect after its outcome was reported as unknown.
    this->queue.After(this->queue.RandomDelayUpTo(3'000), [this, row = write.row] {
      datastore::TableRow ignored;
      this->Store(row, &ignored);
    });
    this->Deliver(request, this->queue.RandomDelayUpTo(1'000),
                  internal::RowNotWritten{TableErrorKind::kOutcomeUnknown});
    return;
  }
  datastore::TableRow stored;
  const bool written = this->Store(write.row, &stored);
  const milliseconds delay = this->queue.Chance(0.05) ? this->queue.RandomDelayUpTo(5'000)
                                                      : this->queue.RandomDelayUpTo(10);
  if (lost) {
    this->Deliver(request, delay, internal::RowNotWritten{TableErrorKind::kOutcomeUnknown});
  } else if (written) {
    this->Deliver(request, delay, internal::RowWritten{stored});
  } else {
    this->Deliver(request, delay, internal::RowNotWritten{TableErrorKind::kConflict});
  }
}

bool IntentSimulation::Store(const datastore::TableRow& row, datastore::TableRow* stored) {
  const auto found = this->rows.find(row.key);
  const std::string current = found == this->rows.end() ? "" : found->second.etag;
  const bool overwrites = this->fault == InjectedFault::kInsertOverwritesRow && row.etag.empty();
  if (current != row.etag && !overwrites) {
    return false;
  }
  *stored = row;
  stored->etag = std::to_string(this->next_etag++);
  this->rows[row.key] = *stored;
  return true;
}

void IntentSimulation::Read(const RequestRef& request, const internal::ReadRow& read) {
  if (this->queue.Chance(0.05)) {
    this->Deliver(request, this->queue.RandomDelayUpTo(100),
                  internal::RowNotRead{TableErrorKind::kUnavailable});
    return;
  }
  const auto found = this->rows.find(read.key);
  if (found == this->rows.end()) {
    this->Deliver(request, this->queue.RandomDelayUpTo(10),
                  internal::RowNotRead{TableErrorKind::kNotFound});
    return;
  }
  this->Deliver(request, this->queue.RandomDelayUpTo(10), internal::RowRead{found->second});
}

void IntentSimulation::Send(const RequestRef& request) {
  internal::AttemptPolicy policy;
  policy.engine = false;
  policy.repeatable = this->fault == InjectedFault::kResendsAfterUnknown;
  policy.single_send = !policy.repeatable;
  policy.deadline = this->queue.now + milliseconds(10'000);
  request->attempts = std::make_unique<internal::AttemptMachine>(
      policy, this->budget, "", static_cast<std::uint64_t>(request->id));
  this->DeliverAttempt(request, milliseconds(10'000), internal::DeadlineReached{});
  this->ApplyAttempt(request, request->attempts->Start(this->queue.now));
}

void IntentSimulation::Attempt(const RequestRef& request, int attempt) {
  const int choice = this->queue.RandomBelow(10);
  if (choice == 0) {
    this->DeliverAttempt(request, this->queue.RandomDelayUpTo(10), internal::NoEndpoint{attempt});
    return;
  }
  if (choice == 1) {
    this->DeliverAttempt(request, this->queue.RandomDelayUpTo(10),
                         internal::AnswerEnd{attempt, internal::AttemptFailure{false, false}});
    return;
  }
  if (choice == 2) {
    if (this->fault == InjectedFault::kRunsRefusedRequest) {
      this->auditor.OnRun(request->key, request->id, "hidden");
    }
    static const std::string kDraining = R"({"error":{"code":"draining"}})";
    this->DeliverAttempt(request, milliseconds(1), internal::AnswerHead{attempt, 503, false, {}});
    this->DeliverAttempt(request, milliseconds(2), internal::AnswerData{attempt, kDraining});
    this->DeliverAttempt(request, milliseconds(3), internal::AnswerEnd{attempt, std::nullopt});
    return;
  }
  if (choice == 3) {
    // The connection is lost before the endpoint has read the request.
    this->DeliverAttempt(request, this->queue.RandomDelayUpTo(100),
                         internal::AnswerEnd{attempt, internal::AttemptFailure{true, false}});
    return;
  }
  this->queue.After(this->queue.RandomDelayUpTo(50), [this, request, attempt, whole = choice > 5] {
    this->Answer(request, attempt, whole);
  });
}

void IntentSimulation::Answer(const RequestRef& request, int attempt, bool whole) {
  const std::string answer = request->key + "/" + std::to_string(this->next_run++);
  this->auditor.OnRun(request->key, request->id, answer);
  if (!whole) {
    const bool timed_out = this->queue.Chance(0.5);
    this->DeliverAttempt(request, this->queue.RandomDelayUpTo(5'000),
                         internal::AnswerEnd{attempt, internal::AttemptFailure{true, timed_out}});
    return;
  }
  const bool mixed =
      this->fault == InjectedFault::kReturnsOtherAnswer && !this->last_answer.empty();
  const auto body = std::make_shared<std::string>(mixed ? this->last_answer : answer);
  this->last_answer = answer;
  this->queue.After(this->queue.RandomDelayUpTo(200), [this, request, attempt, body] {
    if (request->crashed) {
      return;
    }
    this->ApplyAttempt(
        request,
        request->attempts->Handle(internal::AnswerHead{attempt, kOk, false, {}}, this->queue.now));
    this->ApplyAttempt(
        request, request->attempts->Handle(internal::AnswerData{attempt, *body}, this->queue.now));
    this->ApplyAttempt(request, request->attempts->Handle(
                                    internal::AnswerEnd{attempt, std::nullopt}, this->queue.now));
  });
}

void IntentSimulation::OnResponse(const RequestRef& request, Outcome outcome,
                                  const std::string& body) {
  this->auditor.OnResponse(request->key, request->id, outcome, body);
  if (this->fault == InjectedFault::kRespondsTwice) {
    this->auditor.OnResponse(request->key, request->id, outcome, body);
  }
  this->completed += outcome == Outcome::kCompleted ? 1 : 0;
  this->not_run += outcome == Outcome::kNotRun ? 1 : 0;
  this->unknown += outcome == Outcome::kUnknown ? 1 : 0;
}

}  // namespace lentilhead::online
