#pragma once

#include <map>
#include <memory>
#include <string>

#include "online/internal/attempt_machine.h"
#include "online/internal/intent_machine.h"
#include "online/tests/event_queue.h"
#include "online/tests/outcome_auditor.h"

namespace lentilhead::online {

/// Fault that a simulation injects to show that its checks detect it.
enum class InjectedFault {
  kNone,
  kInsertOverwritesRow,  ///< The table lets an insert replace an existing row.
  kResendsAfterUnknown,  ///< A call is sent again after an unknown outcome.
  kRunsRefusedRequest,   ///< An endpoint runs a request and then refuses it.
  kReturnsOtherAnswer,   ///< An endpoint returns the answer of another request.
  kRespondsTwice,        ///< A final answer is delivered twice.
};

/// Simulates callers that resend at-most-once calls to several instances, under random faults of
/// the table, the endpoints and the instances.
class IntentSimulation {
 public:
  IntentSimulation(std::uint64_t seed, InjectedFault fault);

  /// Runs events until none remains or `max_steps` is reached. @return events run.
  int Run(int max_steps);

  int completed = 0;
  int not_run = 0;
  int unknown = 0;
  int replayed = 0;
  int crashed = 0;
  int paused = 0;
  int unanswered = 0;  ///< Requests without an answer at the end, crashed instances excluded.

 private:
  struct Request {
    int id = 0;
    std::string key;
    std::unique_ptr<internal::IntentMachine> intent;
    std::unique_ptr<internal::AttemptMachine> attempts;
    bool crashed = false;
    framework::MonotonicTime paused_until{};
  };
  using RequestRef = std::shared_ptr<Request>;

  struct EffectVisitor;
  struct AttemptVisitor;

  [[nodiscard]] internal::IntentMachine::Times Now() const;
  void Submit(const std::string& key, int resends);
  void Deliver(const RequestRef& request, std::chrono::milliseconds delay,
               const internal::IntentEvent& event);
  void DeliverAttempt(const RequestRef& request, std::chrono::milliseconds delay,
                      const internal::AttemptEvent& event);
  void Apply(const RequestRef& request, const internal::IntentEffects& effects);
  void ApplyAttempt(const RequestRef& request, const internal::AttemptEffects& effects);
  void Write(const RequestRef& request, const internal::WriteRow& write);
  bool Store(const datastore::TableRow& row, datastore::TableRow* stored);
  void Read(const RequestRef& request, const internal::ReadRow& read);
  void Send(const RequestRef& request);
  void Attempt(const RequestRef& request, int attempt);
  void Answer(const RequestRef& request, int attempt, bool whole);
  void OnResponse(const RequestRef& request, Outcome outcome, const std::string& body);
  void MaybeCrashOrPause(const RequestRef& request);

  EventQueue queue;
  InjectedFault fault;
  OutcomeAuditor auditor;
  internal::RetryBudget budget{0.5, 1'000};
  std::map<std::string, datastore::TableRow> rows;
  std::vector<RequestRef> requests;
  std::string last_answer;
  int next_etag = 1;
  int next_request = 1;
  int next_run = 1;
};

}  // namespace lentilhead::online
