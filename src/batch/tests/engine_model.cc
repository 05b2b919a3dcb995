#include "batch/tests/engine_model.h"

#include <algorithm>
#include <cmath>

namespace lentilhead::batch::internal {

namespace {

using std::chrono::milliseconds;

constexpr int kSendAllBacklog = 200;
constexpr double kSecondsPerMillisecond = 0.001;

struct Request {
  bool batch = false;
  int arrived = 0;  ///< In milliseconds since the start of the run, like all times here.
  int prefill = 0;
  int work = 0;  ///< Milliseconds of work that remain after the prefill.
  bool resumed = false;
};

class EngineModel {
 public:
  explicit EngineModel(const ModelSettings& settings)
      : settings(settings),
        arrivals(settings.seed),
        lengths(settings.seed + 1),
        batch_lengths(settings.seed + 2),
        policy(settings.policy_weight, milliseconds(600'000)) {}

  ModelResult Run();

 private:
  struct Report {
    int visible = 0;
    LoadSample sample;
  };

  int Exponential(std::mt19937_64& generator, double mean) {
    const double uniform = std::generate_canonical<double, 53>(generator);
    return static_cast<int>(-mean * std::log(1 - uniform)) + 1;
  }

  void AddArrivals();
  void AddOnline();
  void AddBatch();
  void Admit();
  void Serve();
  void SendBatch();
  void OnReport(const LoadSample& sample);
  [[nodiscard]] int BatchInFlight() const;
  [[nodiscard]] bool IsMeasured() const { return this->now >= this->settings.warm_up.count(); }

  ModelSettings settings;
  std::mt19937_64 arrivals;
  std::mt19937_64 lengths;
  std::mt19937_64 batch_lengths;
  GrantPolicy policy;
  ModelResult result;
  int now = 0;
  int next_arrival = 0;
  int next_burst = 0;
  std::vector<Request> running;  ///< In the order of admission.
  std::deque<Request> waiting;
  std::deque<Request> cancelled;  ///< Batch streams to resume.
  std::deque<Report> reports;
};

ModelResult EngineModel::Run() {
  const int end = static_cast<int>((this->settings.warm_up + this->settings.length).count());
  this->next_arrival = this->Exponential(this->arrivals, 1'000 / this->settings.online_per_second);
  this->next_burst = this->Exponential(
      this->arrivals, static_cast<double>(this->settings.mean_between_bursts.count()));
  for (this->now = 0; this->now < end; ++this->now) {
    this->AddArrivals();
    this->SendBatch();
    this->Admit();
    this->Serve();
  }
  std::sort(this->result.first_token_seconds.begin(), this->result.first_token_seconds.end());
  return this->result;
}

void EngineModel::AddArrivals() {
  if (this->settings.single_burst) {
    const int burst_time = static_cast<int>(this->settings.warm_up.count());
    for (int count = 0; this->now == burst_time && count < this->settings.burst_size; ++count) {
      this->AddOnline();
    }
    return;
  }
  while (this->now >= this->next_arrival) {
    this->next_arrival +=
        this->Exponential(this->arrivals, 1'000 / this->settings.online_per_second);
    this->AddOnline();
  }
  if (this->now >= this->next_burst) {
    this->next_burst += this->Exponential(
        this->arrivals, static_cast<double>(this->settings.mean_between_bursts.count()));
    for (int count = 0; count < this->settings.burst_size; ++count) {
      this->AddOnline();
    }
  }
}

void EngineModel::AddOnline() {
  const int work =
      this->Exponential(this->lengths, static_cast<double>(this->settings.mean_online.count()));
  this->waiting.push_back(
      {false, this->now, static_cast<int>(this->settings.prefill.count()), work, false});
}

void EngineModel::AddBatch() {
  if (!this->cancelled.empty()) {
    this->waiting.push_back(this->cancelled.front());
    this->cancelled.pop_front();
    return;
  }
  const int work = this->Exponential(this->batch_lengths,
                                     static_cast<double>(this->settings.mean_batch.count()));
  this->waiting.push_back(
      {true, this->now, static_cast<int>(this->settings.prefill.count()), work, false});
}

int EngineModel::BatchInFlight() const {
  const auto is_batch = [](const Request& request) { return request.batch; };
  return static_cast<int>(std::count_if(this->running.begin(), this->running.end(), is_batch) +
                          std::count_if(this->waiting.begin(), this->waiting.end(), is_batch));
}

void EngineModel::SendBatch() {
  switch (this->settings.mode) {
    case BatchMode::kNone:
      return;
    case BatchMode::kSendAll:
      while (this->BatchInFlight() < kSendAllBacklog) {
        this->AddBatch();
      }
      return;
    case BatchMode::kFixedShare:
      while (this->BatchInFlight() < this->settings.slots / 2) {
        this->AddBatch();
      }
      return;
    case BatchMode::kGrant:
      break;
  }
  if (this->now % this->settings.load_period.count() == 0) {
    const LoadSample sample{static_cast<int>(this->running.size()),
                            static_cast<int>(this->waiting.size()), this->settings.slots,
                            this->BatchInFlight()};
    this->reports.push_back(
        {this->now + static_cast<int>(this->settings.report_lag.count()), sample});
  }
  while (!this->reports.empty() && this->reports.front().visible <= this->now) {
    this->OnReport(this->reports.front().sample);
    this->reports.pop_front();
  }
  // A batch request that ends is replaced immediately.
  while (this->BatchInFlight() < this->policy.Grant()) {
    this->AddBatch();
  }
}

void EngineModel::OnReport(const LoadSample& sample) {
  this->policy.OnSample(framework::MonotonicTime(milliseconds(this->now)), sample);
  int excess = this->policy.Excess(this->BatchInFlight());
  for (std::size_t index = this->waiting.size(); index-- > 0 && excess > 0;) {
    if (this->waiting[index].batch) {
      this->cancelled.push_back(this->waiting[index]);
      this->waiting.erase(this->waiting.begin() + static_cast<std::ptrdiff_t>(index));
      excess -= 1;
    }
  }
  for (std::size_t index = this->running.size(); index-- > 0 && excess > 0;) {
    if (!this->running[index].batch) {
      continue;
    }
    Request request = this->running[index];
    request.prefill = static_cast<int>(this->settings.prefill.count());
    request.resumed = true;
    this->cancelled.push_back(request);
    this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(index));
    this->result.cancelled += 1;
    excess -= 1;
  }
}

void EngineModel::Admit() {
  while (!this->waiting.empty() && static_cast<int>(this->running.size()) < this->settings.slots) {
    this->running.push_back(this->waiting.front());
    this->waiting.pop_front();
  }
}

void EngineModel::Serve() {
  int online = 0;
  int batch = 0;
  int repeated = 0;
  for (Request& request : this->running) {
    online += request.batch ? 0 : 1;
    batch += request.batch ? 1 : 0;
    repeated += request.batch && request.resumed && request.prefill > 0 ? 1 : 0;
    if (request.prefill == 0) {
      request.work -= 1;
      continue;
    }
    request.prefill -= 1;
    const int warm_up = static_cast<int>(this->settings.warm_up.count());
    if (request.prefill == 0 && !request.batch && request.arrived >= warm_up) {
      this->result.first_token_seconds.push_back((this->now + 1 - request.arrived) *
                                                 kSecondsPerMillisecond);
    }
  }
  if (this->IsMeasured()) {
    this->result.free_slot_seconds += (this->settings.slots - online) * kSecondsPerMillisecond;
    this->result.batch_slot_seconds += batch * kSecondsPerMillisecond;
    this->result.repeated_slot_seconds += repeated * kSecondsPerMillisecond;
  }
  std::erase_if(this->running, [](const Request& request) { return request.work <= 0; });
}

}  // namespace

double ModelResult::Quantile(double quantile) const {
  if (this->first_token_seconds.empty()) {
    return 0;
  }
  const auto last = this->first_token_seconds.size() - 1;
  return this->first_token_seconds[static_cast<std::size_t>(quantile * static_cast<double>(last))];
}

ModelResult RunEngineModel(const ModelSettings& settings) { return EngineModel(settings).Run(); }

}  // namespace lentilhead::batch::internal
