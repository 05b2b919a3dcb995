#include "batch/tests/dispatch_simulation.h"

#include <algorithm>
#include <utility>

namespace lentilhead::batch::internal {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kItems = 400;
constexpr int kSlots = 16;
constexpr int kOnlineRequests = 2;
constexpr std::uint64_t kStepsPerItem = 40;
constexpr std::size_t kProcesses = 3;
constexpr std::uint32_t kFailingItem = 7;
constexpr std::uint32_t kDisconnectedItem = 11;
constexpr int kMaxFaultFreeSteps = 60'000;
constexpr milliseconds kExchangeTimeout{400};
constexpr milliseconds kMinHandOverTime{1'000};
constexpr milliseconds kLeaseLifetime{6'000};

}  // namespace

DispatchSimulation::Process::Process(std::string name)
    : name(std::move(name)),
      lease(std::make_unique<ShardLease>(this->name + "/0", kLeaseLifetime, milliseconds(500))),
      policy(std::make_unique<GrantPolicy>(1.0, milliseconds(60'000))) {}

DispatchSimulation::DispatchSimulation(std::uint64_t seed, InjectedFault fault, bool with_cancel)
    : random(seed), fault(fault), with_cancel(with_cancel) {
  this->row.id = "job";
  this->row.items = kItems;
  this->row.segment_items = kItems;
  this->row.done = ItemBitmap(kItems);
  this->row.deadline = this->wall_now + std::chrono::hours(1);
  this->limits.window_items = 48;
  this->limits.commit_items = 8;
  this->limits.solo_items = 2;
  this->last_starts.resize(kProcesses);
  for (std::size_t index = 0; index < kProcesses; ++index) {
    this->processes.emplace_back("p" + std::to_string(index));
  }
}

bool DispatchSimulation::Chance(int percent) {
  return static_cast<int>(this->random() % 1'000) < percent * 10;
}

void DispatchSimulation::Run(int fault_steps) {
  for (int step = 0; step < fault_steps && !this->IsOver(); ++step) {
    this->Step(true);
  }
  for (int step = 0; step < kMaxFaultFreeSteps && !this->IsOver(); ++step) {
    this->Step(false);
  }
  // Late messages of any process must not change an ended job.
  for (int step = 0; step < fault_steps / 4; ++step) {
    this->Step(true);
  }
}

void DispatchSimulation::Step(bool faults) {
  this->faults_on = faults;
  this->steps += 1;
  const milliseconds step(this->random() % 100);
  this->now += step;
  this->wall_now += step;
  this->RunEvents();
  if (faults && this->random() % 200 == 0) {
    this->job_owner = this->random() % kProcesses;
  }
  if (faults && this->random() % 120 == 0) {
    this->endpoint_owner = this->random() % kProcesses;
  }
  if (this->with_cancel && this->random() % 400 == 0 && this->row.state == JobState::kOpen) {
    this->row.state = JobState::kCancelled;
    this->row_etag += 1;
  }
  const std::size_t index = this->random() % kProcesses;
  Process& process = this->processes[index];
  if (faults && this->random() % 300 == 0) {
    this->Crash(process);
  }
  if (faults && this->random() % 150 == 0) {
    process.paused_until = this->now + milliseconds(this->random() % 15'000);
  }
  if (this->now < process.paused_until) {
    return;
  }
  this->StepLease(index);
  this->StepJob(index);
  this->StepEndpoint(index);
}

void DispatchSimulation::Crash(Process& process) {
  for (const std::uint64_t attempt : process.running) {
    this->attempts_in_flight.erase(attempt);
  }
  const std::string name = process.name;
  const int runs = process.runs + 1;
  process = Process(name);
  process.runs = runs;
  process.lease = std::make_unique<ShardLease>(name + "/" + std::to_string(runs), kLeaseLifetime,
                                               milliseconds(500));
}

void DispatchSimulation::Schedule(std::size_t index, std::function<void(Process&)> action) {
  const milliseconds delay(this->faults_on ? this->random() % 2'000 : 5);
  this->events.push_back(
      {this->now + delay, index, this->processes[index].runs, std::move(action)});
}

void DispatchSimulation::RunEvents() {
  std::vector<Event> due;
  std::erase_if(this->events, [&](Event& event) {
    if (event.due > this->now || this->processes[event.process].paused_until > this->now) {
      return false;
    }
    due.push_back(std::move(event));
    return true;
  });
  for (Event& event : due) {
    Process& process = this->processes[event.process];
    if (process.runs == event.run) {
      event.action(process);
    }
  }
}

void DispatchSimulation::StepLease(std::size_t index) {
  Process& process = this->processes[index];
  process.lease->SetWanted(index == this->job_owner);
  if (process.lease->MustRelease() && process.ledger) {
    process.ledger->HandOver();
  } else if (process.lease->MustRelease()) {
    process.lease->AllowRelease();
  }
  const LeaseAction action = process.lease->Next(this->now);
  if (std::holds_alternative<ReadLease>(action)) {
    this->Schedule(index, [this](Process& p) { p.lease->OnRead(this->now, this->lease_row); });
    return;
  }
  const auto* write = std::get_if<WriteLease>(&action);
  if (write == nullptr) {
    return;
  }
  const std::string current = this->lease_row ? this->lease_row->etag : "";
  LeaseRow row = write->row;
  const bool applied = row.etag == current && !(this->faults_on && this->Chance(10));
  const bool conflict = row.etag != current;
  if (applied) {
    row.etag = std::to_string(++this->lease_etag);
    this->lease_row = row;
  }
  const bool lost = this->faults_on && this->Chance(10);
  this->Schedule(index, [this, applied, conflict, lost, row](Process& p) {
    if (lost || (!applied && !conflict)) {
      p.lease->OnUnavailable(this->now);
    } else if (conflict) {
      p.lease->OnConflict();
    } else {
      p.lease->OnWritten(this->now, row);
    }
  });
}

void DispatchSimulation::StepJob(std::size_t index) {
  Process& process = this->processes[index];
  if (!process.ledger) {
    const bool may_claim = process.lease->IsHeld(this->now) && !process.lease->MustRelease() &&
                           !process.claiming && this->row.state == JobState::kOpen;
    if (!may_claim) {
      return;
    }
    process.claiming = true;
    const JobRecord before = this->row;
    const int etag = this->row_etag;
    this->Schedule(index, [this, before, etag](Process& p) {
      p.claiming = false;
      if (etag != this->row_etag || before.state != JobState::kOpen) {
        return;
      }
      this->row = JobLedger::ClaimOf(before, p.name, this->limits);
      this->row_etag += 1;
      if (this->faults_on && this->Chance(10)) {
        return;  // The answer to the claim is lost. The next claim uses another epoch.
      }
      p.ledger = std::make_unique<JobLedger>(before, this->row, std::to_string(this->row_etag),
                                             this->limits, this->now);
    });
    return;
  }
  process.ledger->OnTime(this->now, this->wall_now);
  for (const EndingItem& ending : process.ledger->EndingItems()) {
    process.ledger->EndItem(ending.item, "ended", this->now);
  }
  if (process.writing) {
    return;
  }
  const auto write = process.ledger->NextWrite(this->now, this->wall_now);
  if (write) {
    process.writing = true;
    this->WriteLedger(index, *write);
  } else if (process.ledger->IsHandedOver() || process.ledger->Record().state != JobState::kOpen) {
    process.ledger.reset();
  }
}

void DispatchSimulation::WriteLedger(std::size_t index, const LedgerWrite& write) {
  // The write reaches the store with a delay.
  this->Schedule(index, [this, index, write](Process& p) {
    const bool lost_before = this->faults_on && this->Chance(10);
    const bool cancelled = this->row.state == JobState::kCancelled;
    bool matches = write.etag == std::to_string(this->row_etag);
    matches = matches || this->fault == InjectedFault::kIgnoreEtag ||
              (this->fault == InjectedFault::kCommitAfterCancel && cancelled);
    if (matches && !lost_before) {
      this->Commit(write);
    }
    const bool lost_after = this->faults_on && this->Chance(10);
    if (lost_before || lost_after || !matches) {
      this->RereadRow(index);
      return;
    }
    p.writing = false;
    p.ledger->OnWritten(std::to_string(this->row_etag));
  });
}

void DispatchSimulation::Commit(const LedgerWrite& write) {
  if (this->row.state == JobState::kCancelled && !write.ended.empty()) {
    this->violations.insert("no result after a cancel");
  }
  for (const EndedItem& ended : write.ended) {
    if (!this->committed.insert(ended.item).second) {
      this->violations.insert("one committed result per item");
    }
  }
  this->row = write.record;
  this->row_etag += 1;
}

void DispatchSimulation::RereadRow(std::size_t index) {
  this->Schedule(index, [this, index](Process& p) {
    if (this->faults_on && this->Chance(20)) {
      this->RereadRow(index);
      return;
    }
    p.writing = false;
    const WriteOutcome outcome = p.ledger->OnReread(this->row, std::to_string(this->row_etag));
    if (outcome == WriteOutcome::kLost || outcome == WriteOutcome::kCancelled) {
      p.ledger.reset();
    }
  });
}

void DispatchSimulation::StepEndpoint(std::size_t index) {
  Process& process = this->processes[index];
  if (this->faults_on && this->random() % 40 == 0) {
    process.no_view_until = this->now + milliseconds(this->random() % 5'000);
  }
  if (this->now >= process.no_view_until) {
    const bool is_owner = index == this->endpoint_owner;
    this->Schedule(index, [this, is_owner, confirmed = this->now](Process& p) {
      p.grant.OnView(confirmed, is_owner, this->now);
    });
  }
  if (!process.grant.MayRun(this->now)) {
    for (const std::uint64_t attempt : process.running) {
      this->attempts_in_flight.erase(attempt);
      process.outbox.push_back(
          {process.items[attempt].item, attempt, AttemptOutcome::kPreempted, "", "partial"});
      process.items.erase(attempt);
    }
    process.running.clear();
  }
  this->SampleLoad(index);
  this->EndItems(process);
  if (!process.exchanging) {
    this->Exchange(index);
  }
}

void DispatchSimulation::SampleLoad(std::size_t index) {
  const int running = static_cast<int>(this->attempts_in_flight.size()) + kOnlineRequests;
  const LoadSample sample{running, 0, kSlots,
                          static_cast<int>(this->processes[index].running.size())};
  this->Schedule(index, [this, sample](Process& p) { p.policy->OnSample(this->now, sample); });
}

std::size_t DispatchSimulation::InFlight() const { return this->attempts_in_flight.size(); }

void DispatchSimulation::Exchange(std::size_t index) {
  Process& puller = this->processes[index];
  const std::uint64_t sequence = ++puller.sequence;
  const std::vector<ItemResult> results = puller.outbox;
  std::vector<HeldItem> held;
  for (const auto& [attempt, grant] : puller.items) {
    held.push_back({grant.item, attempt});
  }
  for (const ItemResult& result : results) {
    held.push_back({result.item, result.attempt});
  }
  const bool no_wait = this->fault == InjectedFault::kNoGrantWait && index == this->endpoint_owner;
  const bool may_send = puller.grant.MaySend(this->now) || no_wait;
  const int capacity = puller.policy->Grant() - static_cast<int>(puller.running.size());
  std::size_t wanted = may_send && capacity > 0 ? static_cast<std::size_t>(capacity) : 0;
  wanted += this->fault == InjectedFault::kIgnoreGrant ? 2 : 0;
  const bool solo = puller.running.empty() && wanted > 0;
  puller.exchanging = true;
  const std::string name = puller.name + "/" + std::to_string(puller.runs);
  const std::size_t target = this->random() % kProcesses;
  const auto reply = std::make_shared<std::vector<ItemGrant>>();
  const auto request_received = std::make_shared<bool>(false);
  // A request may arrive after its sender has timed out.
  const milliseconds delay(this->random() % (2 * kExchangeTimeout.count()));
  const int target_run = this->processes[target].runs;
  this->events.push_back(
      {this->now + delay, target, target_run, [=, this](Process& owner) {
         if (!owner.ledger) {
           return;
         }
         for (const ItemResult& result : results) {
           owner.ledger->OnResult(name, result, this->now);
         }
         owner.ledger->OnHeld(name, sequence, held, this->now);
         const bool may_grant = owner.lease->IsHeldThroughOutage(this->now);
         *reply = owner.ledger->GrantItems(name, sequence, may_grant && !solo ? wanted : 0,
                                           may_grant && solo ? 1 : 0, [](auto) { return true; });
         if (reply->empty() && solo && may_grant) {
           *reply = owner.ledger->GrantItems(name, sequence, wanted, 0, [](auto) { return true; });
         }
         *request_received = true;
       }});
  const bool lost = this->faults_on && this->Chance(15);
  this->events.push_back({this->now + kExchangeTimeout, index, puller.runs, [=, this](Process& p) {
                            p.exchanging = false;
                            if (!*request_received || lost) {
                              return;
                            }
                            p.outbox.erase(
                                p.outbox.begin(),
                                p.outbox.begin() + static_cast<std::ptrdiff_t>(results.size()));
                            for (const ItemGrant& grant : *reply) {
                              this->StartItem(p, grant);
                            }
                          }});
}

void DispatchSimulation::StartItem(Process& process, const ItemGrant& grant) {
  const std::size_t index = static_cast<std::size_t>(&process - this->processes.data());
  const bool no_wait = this->fault == InjectedFault::kNoGrantWait && index == this->endpoint_owner;
  const bool may_send = process.grant.MaySend(this->now) || no_wait;
  const bool has_capacity = process.policy->Grant() > static_cast<int>(process.running.size()) ||
                            this->fault == InjectedFault::kIgnoreGrant;
  if (!may_send || !has_capacity || (grant.solo && !process.running.empty())) {
    process.outbox.push_back({grant.item, grant.attempt, AttemptOutcome::kNotRun, "", ""});
    return;
  }
  for (std::size_t other = 0; other < kProcesses; ++other) {
    if (other != index && this->now < this->last_starts[other] + kMinHandOverTime) {
      this->violations.insert("one owner sends to an endpoint");
    }
  }
  this->last_starts[index] = this->now;
  process.running.insert(grant.attempt);
  process.items[grant.attempt] = grant;
  this->attempts_in_flight.insert(grant.attempt);
  if (this->InFlight() > kSlots - kOnlineRequests) {
    this->violations.insert("batch in flight never above the grant");
  }
}

void DispatchSimulation::EndItems(Process& process) {
  std::vector<std::uint64_t> ending;
  for (const std::uint64_t attempt : process.running) {
    if (this->random() % kStepsPerItem == 0) {
      ending.push_back(attempt);
    }
  }
  for (const std::uint64_t attempt : ending) {
    const std::uint32_t item = process.items[attempt].item;
    AttemptOutcome outcome = AttemptOutcome::kSucceeded;
    if (item == kFailingItem) {
      outcome = AttemptOutcome::kFailed;
    } else if (item == kDisconnectedItem || (this->faults_on && this->Chance(5))) {
      outcome = AttemptOutcome::kLost;
    }
    process.outbox.push_back({item, attempt, outcome, "line", ""});
    process.running.erase(attempt);
    process.items.erase(attempt);
    this->attempts_in_flight.erase(attempt);
  }
}

}  // namespace lentilhead::batch::internal
