#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/part_quarantine.h"
#include "gateway/probe_turn.h"

namespace lentilhead::gateway::tests {

/// What a simulated fleet is, and what it is sent.
struct SimulationSetup {
  int nodes = 3;
  int endpoints = 14;
  double sound_per_second = 60;
  double bad_per_second = 8;  ///< of each bad part or request
  int bad_parts = 1;
  int bad_requests = 0;            ///< requests that come again with the same content
  bool ends_unanswered = false;    ///< endpoints end before the head of an answer
  bool is_loss_certain = true;     ///< nodes can tell that an endpoint ended
  double repeated_per_second = 0;  ///< of one sound request that comes again all the time
  bool is_first_part_bad = false;
  int subjects = 200;  ///< second parts of sound prompts
  double message_loss = 0.02;
  std::chrono::milliseconds duration{30000};
  /// Times at which a third of the endpoints end together.
  std::vector<std::chrono::milliseconds> mass_losses;
};

/// What callers and endpoints of a simulated fleet saw.
struct SimulationResult {
  int ended = 0;         ///< endpoints that ended under a bad request
  int reached_late = 0;  ///< bad requests that reached an endpoint 3 s after the fifth end or later
  int refused_sound = 0;  ///< sound requests that were held back, from 6 s after the fifth end on
  int sound = 0;          ///< sound requests in that time
  int held_parts = 0;     ///< sound parts and requests that any node held at the end
  int lost_sound = 0;     ///< sound requests that were lost with each of their attempts
  int most_ended = 0;     ///< endpoints that ended under one bad request
  int most_late = 0;      ///< times that one reached an endpoint 3 s after its third end or later
};

/// Plays a fleet of nodes, each with its quarantine, in virtual time. Endpoints end when they begin
/// to answer a request with a bad part, and are back later.
class QuarantineSimulation {
 public:
  QuarantineSimulation(SimulationSetup setup, std::uint32_t seed);

  /// Plays to the end.
  SimulationResult Run();

 private:
  using Task = std::function<void()>;

  struct Request {
    std::string id;
    PromptKeys keys;
    bool is_bad = false;
    std::size_t node = 0;
    int attempts = 0;
  };
  struct Attempt {
    Request request;
    AttemptStage stage = AttemptStage::kUnanswered;
  };
  /// What a bad request did.
  struct Tally {
    std::vector<net::SteadyTime> ends;
    int late = 0;
  };
  struct Endpoint {
    bool is_up = true;
    std::uint32_t incarnation = 0;
    std::map<std::uint64_t, Attempt> attempts;
  };
  struct Node {
    PartQuarantine quarantine;
    std::uint64_t sent_version = 0;
    bool is_sending = false;
  };

  void At(std::chrono::milliseconds delay, Task task);
  void Arrive(bool is_bad, int bad_part);
  /// A request whose content is the same each time.
  void ArriveAgain(PartKey own, bool is_bad, double per_second);
  void Send(Request request);
  /// Draws the node and the sound parts of a request.
  [[nodiscard]] Request MakeRequest(bool is_bad);
  void NoteHeld(const PromptKeys& keys, PartKey part, std::set<PartKey>& held) const;
  void Begin(std::size_t endpoint, std::uint64_t attempt);
  void Answer(std::size_t endpoint, std::uint64_t attempt);
  void End(std::size_t endpoint);
  void ScheduleMessage(std::size_t node);
  void SendMessage(std::size_t node);
  [[nodiscard]] std::vector<std::size_t> Receivers(std::size_t node);
  [[nodiscard]] bool IsLate() const;
  [[nodiscard]] bool IsSettled() const;
  int Draw(int below);

  SimulationSetup setup;
  std::mt19937 random;
  net::SteadyTime now;
  std::multimap<net::SteadyTime, Task> tasks;
  std::vector<Node> nodes;
  std::vector<std::string> names;
  std::vector<Endpoint> endpoints;
  std::uint32_t incarnations = 0;
  std::uint64_t attempts = 0;
  int requests = 0;
  std::vector<net::SteadyTime> ends;  ///< under bad requests
  std::map<PartKey, Tally> tallies;   ///< of bad requests that come again
  SimulationResult result;
};

}  // namespace lentilhead::gateway::tests
