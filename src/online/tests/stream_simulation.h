#pragma once

#include <memory>
#include <string>
#include <vector>

#include "online/internal/attempt_machine.h"
#include "online/tests/event_queue.h"

namespace lentilhead::online {

/// Fault that a stream simulation injects to show that its checks detect it.
enum class InjectedStreamFault {
  kNone,
  kLateBytesAsCurrent,  ///< Bytes of an old attempt carry the number of the current one.
  kWrongResumeOffset,   ///< The endpoint resumes at another offset than requested.
  kRunsRefusedRequest,  ///< The endpoint runs a request and then refuses it.
};

/// Simulates one streamed chat completion at endpoints that fail at random.
class StreamSimulation {
 public:
  StreamSimulation(std::uint64_t seed, InjectedStreamFault fault);

  /// Runs to the end; throws InvariantViolation where the caller's answer is wrong.
  /// @return events run.
  int Run();

  bool finished = false;      ///< The caller received the whole answer.
  bool failed = false;        ///< The caller received a typed error.
  bool disconnected = false;  ///< The caller disconnected.
  int resumed = 0;

 private:
  struct Visitor;

  void Apply(const internal::AttemptEffects& effects);
  void Deliver(std::chrono::milliseconds delay, const internal::AttemptEvent& event);
  void DeliverBytes(std::chrono::milliseconds delay, int attempt, const std::string& bytes);
  void Attempt(const internal::SendAttempt& send);
  void Stream(int attempt, std::size_t offset);
  void Forward(const std::string& events);
  void End(bool whole);

  EventQueue queue;
  InjectedStreamFault fault;
  internal::RetryBudget budget{0.5, 100};
  internal::AttemptMachine machine;
  std::string expected;
  std::string received;
  bool done_received = false;
  bool ran = false;
  int current = 0;
};

}  // namespace lentilhead::online
