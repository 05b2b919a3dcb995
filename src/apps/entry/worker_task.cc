#include "apps/entry/worker_task.h"

#include <utility>

namespace lentilhead::apps {

WorkerTask::WorkerTask(int number, const InstanceSettings& settings, framework::Metrics& metrics,
                       std::function<void(ProgramMessage)> report)
    : number(number),
      settings(settings),
      metrics(metrics),
      report(std::move(report)),
      task("worker-" + std::to_string(number)),
      mailbox(this->task.Context(), [this](const WorkerMessage& message) {
        if (this->state) {
          this->state->Handle(message);
        }
      }) {}

void WorkerTask::Start() {
  this->task.Start([this] { this->SetUp(); }, [this] { this->state.reset(); });
}

void WorkerTask::Post(const WorkerMessage& message) { this->mailbox.Post(message); }

void WorkerTask::SetUp() {
  this->state = std::make_unique<WorkerState>(
      this->settings, this->task.Timers(), this->metrics,
      [this] { this->report(WorkerReady{this->number}); },
      [this](std::size_t aborted) {
        this->report(WorkerDrained{this->number, aborted});
      });
  boost::leaf::try_handle_all(
      [&]() -> framework::Result<void> { return this->state->Listen(); },
      [&](const framework::HttpServerError& error) { this->report(TaskFailed{error.detail}); },
      [&] { this->report(TaskFailed{"unknown"}); });
}

}  // namespace lentilhead::apps
