#include "gateway/tests/quarantine_simulation.h"

#include <algorithm>

namespace lentilhead::gateway::tests {

namespace {

using std::chrono::milliseconds;

constexpr net::SteadyTime kStart{std::chrono::hours(1)};
constexpr milliseconds kWarmUp{3000};   // sound requests only
constexpr milliseconds kContact{3000};  // after the fifth end, to learn of the part
constexpr milliseconds kSettled{6000};
constexpr milliseconds kDown{3000};       // until an endpoint is back
constexpr milliseconds kQueueTime{15};    // until an answer begins
constexpr milliseconds kPrefillTime{70};  // from then until its first event
constexpr milliseconds kFailureDelay{3};  // until a node knows that an endpoint ended
constexpr milliseconds kSuspicionCheckPeriod{20};
constexpr milliseconds kMessageDelay{27};
constexpr milliseconds kMessagePeriod{100};
constexpr milliseconds kRepeatPeriod{1000};
constexpr int kMaxAttempts = 2;
constexpr int kFirstParts = 20;
constexpr PartKey kSubjectBase = 1000;
constexpr PartKey kBadBase = 1;
constexpr PartKey kFirstBase = 500;
constexpr PartKey kRepeated = 1 << 20;
constexpr PartKey kBadRequestBase = 1 << 21;
constexpr PartKey kRequestBase = 1 << 22;
constexpr std::size_t kSingleGroup = 24;
constexpr std::size_t kGroup = 16;
constexpr int kOtherGroupNodes = 4;

}  // namespace

QuarantineSimulation::QuarantineSimulation(SimulationSetup setup, std::uint32_t seed)
    : setup(std::move(setup)), random(seed), now(kStart) {
  this->nodes.resize(static_cast<std::size_t>(this->setup.nodes));
  this->endpoints.resize(static_cast<std::size_t>(this->setup.endpoints));
  for (Endpoint& endpoint : this->endpoints) {
    endpoint.incarnation = ++this->incarnations;
  }
  for (std::size_t node = 0; node < this->nodes.size(); ++node) {
    this->names.push_back("n" + std::to_string(node));
    this->nodes[node].quarantine.SetTurnCheck([this, node](PartKey part, std::uint64_t turn) {
      return ProbeTurn::IsOwn(this->names, this->names[node], part, turn);
    });
    this->nodes[node].quarantine.OnChange([this, node] { this->ScheduleMessage(node); });
  }
}

int QuarantineSimulation::Draw(int below) {
  return std::uniform_int_distribution<int>(0, below - 1)(this->random);
}

void QuarantineSimulation::At(milliseconds delay, Task task) {
  this->tasks.emplace(this->now + delay, std::move(task));
}

bool QuarantineSimulation::IsLate() const {
  return this->ends.size() >= 5 && this->now > this->ends[4] + kContact;
}

bool QuarantineSimulation::IsSettled() const {
  const std::size_t learnt = std::min<std::size_t>(5, this->ends.size());
  return learnt > 0 && this->now > this->ends[learnt - 1] + kSettled;
}

QuarantineSimulation::Request QuarantineSimulation::MakeRequest(bool is_bad) {
  Request request;
  request.id = std::to_string(++this->requests);
  request.is_bad = is_bad;
  request.node = static_cast<std::size_t>(this->Draw(this->setup.nodes));
  request.keys.shared = {kFirstBase + static_cast<PartKey>(this->Draw(kFirstParts)),
                         kSubjectBase + static_cast<PartKey>(this->Draw(this->setup.subjects))};
  request.keys.own = kRequestBase + static_cast<PartKey>(this->requests);
  return request;
}

void QuarantineSimulation::ArriveAgain(PartKey own, bool is_bad, double per_second) {
  Request request = this->MakeRequest(is_bad);
  request.keys.own = own;
  std::exponential_distribution<double> gap(per_second);
  this->At(milliseconds(1 + static_cast<int>(1000 * gap(this->random))),
           [=, this] { this->ArriveAgain(own, is_bad, per_second); });
  this->Send(std::move(request));
}

void QuarantineSimulation::Arrive(bool is_bad, int bad_part) {
  Request request = this->MakeRequest(is_bad);
  if (is_bad) {
    request.keys.shared[this->setup.is_first_part_bad ? 0 : 1] =
        kBadBase + static_cast<PartKey>(bad_part);
  }
  const double rate = is_bad ? this->setup.bad_per_second : this->setup.sound_per_second;
  std::exponential_distribution<double> gap(rate);
  this->At(milliseconds(1 + static_cast<int>(1000 * gap(this->random))),
           [this, is_bad, bad_part] { this->Arrive(is_bad, bad_part); });
  this->Send(std::move(request));
}

void QuarantineSimulation::Send(Request request) {
  PartQuarantine& quarantine = this->nodes[request.node].quarantine;
  const milliseconds pause = quarantine.PauseBeforeSend(request.keys, request.id, this->now);
  if (pause > milliseconds(0)) {
    this->At(std::min(pause, kSuspicionCheckPeriod), [this, request] { this->Send(request); });
    return;
  }
  const PartVerdict verdict = quarantine.Check(request.keys, this->now);
  const bool is_held = std::holds_alternative<PartHeld>(verdict);
  if (!request.is_bad && this->IsSettled()) {
    ++this->result.sound;
    this->result.refused_sound += is_held ? 1 : 0;
  }
  if (is_held) {
    return;
  }
  std::vector<std::size_t> up;
  for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
    if (this->endpoints[index].is_up) {
      up.push_back(index);
    }
  }
  if (up.empty()) {
    return;
  }
  if (const auto* probe = std::get_if<PartProbe>(&verdict)) {
    quarantine.RecordProbe(probe->part, this->now);
  }
  if (request.is_bad && this->IsLate()) {
    ++this->result.reached_late;
  }
  if (const auto tally = this->tallies.find(*request.keys.own); tally != this->tallies.end()) {
    const auto& ended = tally->second.ends;
    tally->second.late += ended.size() >= 3 && this->now > ended[2] + kContact ? 1 : 0;
  }
  ++request.attempts;
  const std::size_t endpoint =
      up[static_cast<std::size_t>(this->Draw(static_cast<int>(up.size())))];
  const std::uint64_t attempt = ++this->attempts;
  this->endpoints[endpoint].attempts[attempt] = {std::move(request)};
  this->At(kQueueTime + milliseconds(this->Draw(30)),
           [this, endpoint, attempt] { this->Begin(endpoint, attempt); });
}

void QuarantineSimulation::Begin(std::size_t endpoint, std::uint64_t attempt) {
  auto& running = this->endpoints[endpoint].attempts;
  const auto found = running.find(attempt);
  if (found == running.end()) {
    return;
  }
  found->second.stage =
      this->setup.ends_unanswered ? AttemptStage::kUnanswered : AttemptStage::kBegun;
  this->At(kPrefillTime + milliseconds(this->Draw(60)),
           [this, endpoint, attempt] { this->Answer(endpoint, attempt); });
}

void QuarantineSimulation::Answer(std::size_t endpoint, std::uint64_t attempt) {
  auto& running = this->endpoints[endpoint].attempts;
  const auto found = running.find(attempt);
  if (found == running.end()) {
    return;
  }
  if (found->second.request.is_bad) {
    this->ends.push_back(this->now);
    const auto tally = this->tallies.find(*found->second.request.keys.own);
    if (tally != this->tallies.end()) {
      tally->second.ends.push_back(this->now);
    }
    ++this->result.ended;
    this->End(endpoint);
    return;
  }
  const Request& request = found->second.request;
  this->nodes[request.node].quarantine.RecordAnswer(request.keys, this->now);
  running.erase(found);
}

void QuarantineSimulation::End(std::size_t endpoint) {
  Endpoint& ended = this->endpoints[endpoint];
  if (!std::exchange(ended.is_up, false)) {
    return;
  }
  const std::map<std::uint64_t, Attempt> lost = std::exchange(ended.attempts, {});
  for (const auto& [id, attempt] : lost) {
    const Request& request = attempt.request;
    PartQuarantine& quarantine = this->nodes[request.node].quarantine;
    const RequestEnd end{request.id, request.keys, ended.incarnation, attempt.stage,
                         this->setup.is_loss_certain};
    quarantine.RecordEnd(end, this->now);
    const bool is_sent_again = request.attempts < kMaxAttempts && quarantine.MaySendAgain(end);
    this->result.lost_sound += !request.is_bad && !is_sent_again ? 1 : 0;
    if (is_sent_again) {
      this->At(kFailureDelay + quarantine.PauseBeforeRetry(end),
               [this, request] { this->Send(request); });
    }
  }
  this->At(kDown, [this, endpoint] {
    this->endpoints[endpoint].is_up = true;
    this->endpoints[endpoint].incarnation = ++this->incarnations;
  });
}

void QuarantineSimulation::ScheduleMessage(std::size_t node) {
  if (!std::exchange(this->nodes[node].is_sending, true)) {
    const bool is_small = this->nodes.size() <= kSingleGroup;
    this->At(is_small ? kMessageDelay : kMessagePeriod, [this, node] { this->SendMessage(node); });
  }
}

std::vector<std::size_t> QuarantineSimulation::Receivers(std::size_t node) {
  std::vector<std::size_t> receivers;
  const bool is_small = this->nodes.size() <= kSingleGroup;
  for (std::size_t other = 0; other < this->nodes.size(); ++other) {
    if (other != node && (is_small || other / kGroup == node / kGroup)) {
      receivers.push_back(other);
    }
  }
  for (int pick = 0; !is_small && pick < kOtherGroupNodes; ++pick) {
    receivers.push_back(static_cast<std::size_t>(this->Draw(this->setup.nodes)));
  }
  return receivers;
}

void QuarantineSimulation::SendMessage(std::size_t node) {
  this->nodes[node].is_sending = false;
  const std::vector<PartEvidence> evidence =
      this->nodes[node].quarantine.Evidence(this->now, false);
  if (evidence.empty()) {
    return;
  }
  std::uniform_real_distribution<double> chance(0, 1);
  for (const std::size_t receiver : this->Receivers(node)) {
    if (receiver != node && chance(this->random) >= this->setup.message_loss) {
      this->At(milliseconds(2), [this, receiver, evidence] {
        this->nodes[receiver].quarantine.Merge(evidence, this->now);
      });
    }
  }
}

void QuarantineSimulation::NoteHeld(const PromptKeys& keys, PartKey part,
                                    std::set<PartKey>& held) const {
  for (const Node& node : this->nodes) {
    if (!std::holds_alternative<PartsAllowed>(node.quarantine.Check(keys, this->now))) {
      held.insert(part);
    }
  }
}

SimulationResult QuarantineSimulation::Run() {
  this->Arrive(false, 0);
  for (int part = 0; part<this->setup.bad_parts&& this->setup.bad_per_second> 0; ++part) {
    this->At(kWarmUp, [this, part] { this->Arrive(true, part); });
  }
  for (int number = 0; number < this->setup.bad_requests; ++number) {
    const PartKey own = kBadRequestBase + static_cast<PartKey>(number);
    this->tallies[own] = {};
    this->At(kWarmUp, [this, own] { this->ArriveAgain(own, true, this->setup.bad_per_second); });
  }
  if (this->setup.repeated_per_second > 0) {
    this->ArriveAgain(kRepeated, false, this->setup.repeated_per_second);
  }
  for (const milliseconds time : this->setup.mass_losses) {
    this->At(time, [this] {
      for (std::size_t index = 0; index < this->endpoints.size() / 3; ++index) {
        this->End(index);
      }
    });
  }
  const net::SteadyTime end = kStart + this->setup.duration;
  net::SteadyTime repeat = kStart + kRepeatPeriod;
  while (!this->tasks.empty() && this->tasks.begin()->first < end) {
    const auto next = this->tasks.begin();
    this->now = next->first;
    const Task task = std::move(next->second);
    this->tasks.erase(next);
    task();
    if (this->now >= repeat) {
      repeat = this->now + kRepeatPeriod;
      for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        this->nodes[node].quarantine.Prune(this->now);
        this->ScheduleMessage(node);
      }
    }
  }
  std::set<PartKey> held;
  for (int first = 0; first < kFirstParts + this->setup.subjects; ++first) {
    const PartKey part = first < kFirstParts
                             ? kFirstBase + static_cast<PartKey>(first)
                             : kSubjectBase + static_cast<PartKey>(first - kFirstParts);
    this->NoteHeld({{part}, {}}, part, held);
  }
  this->NoteHeld({{}, kRepeated}, kRepeated, held);
  this->result.held_parts = static_cast<int>(held.size());
  for (const auto& [own, tally] : this->tallies) {
    this->result.most_ended =
        std::max(this->result.most_ended, static_cast<int>(tally.ends.size()));
    this->result.most_late = std::max(this->result.most_late, tally.late);
  }
  return this->result;
}

}  // namespace lentilhead::gateway::tests
