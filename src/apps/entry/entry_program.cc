#include "apps/entry/entry_program.h"

#include <utility>

#include "framework/log_event.h"

namespace lentilhead::apps {

namespace {

using framework::LogEvent;
using framework::Severity;

/// Time to write the error events of aborted answers.
constexpr std::chrono::milliseconds kAbortFlushTime{1'000};

}  // namespace

struct EntryProgram::Visitor {
  EntryProgram& program;

  void operator()(const WorkerReady& /*ready*/) const { this->program.OnWorkerReady(); }
  void operator()(const WorkerDrained& drained) const { this->program.OnWorkerDrained(drained); }
  void operator()(const TaskFailed& failed) const { this->program.OnTaskFailed(failed); }
  void operator()(const ForwardToWorkers& forward) const {
    this->program.PostToWorkers(forward.message);
  }
};

EntryProgram::EntryProgram(InstanceSettings given, std::string settings_file)
    : settings(std::move(given)),
      settings_file(std::move(settings_file)),
      timers(framework::TimerService::OnMainContext(nullptr)),
      loop([this] { this->Leave(); }, [this] { this->Abort("second_signal"); }),
      mailbox(g_main_context_default(),
              [this](const ProgramMessage& message) { std::visit(Visitor{*this}, message); }),
      control(this->settings, this->metrics, this->mailbox.Sender()),
      settings_watch({this->settings_file}),
      tls_watch({this->settings.online.tls_certificate_file, this->settings.online.tls_key_file}) {
  for (int number = 0; number < this->settings.online.workers; ++number) {
    this->workers.push_back(std::make_unique<WorkerTask>(number, this->settings, this->metrics,
                                                         this->mailbox.Sender()));
  }
}

int EntryProgram::Run() {
  for (const auto& worker : this->workers) {
    worker->Start();
  }
  this->control.Start();
  this->reload_timer =
      this->timers->Every(this->settings.online.reload_period, [this] { this->CheckFiles(); });
  LogEvent(Severity::kInfo, "entry_started")
      .With("instance", this->settings.fleet.name)
      .With("callers", this->settings.online.caller_address)
      .With("workers", this->settings.online.workers);
  const int code = this->loop.Run();
  for (const auto& worker : this->workers) {
    worker->Stop();
  }
  this->control.Stop();
  LogEvent(Severity::kInfo, "entry_stopped").With("exit_code", code);
  return code;
}

void EntryProgram::PostToWorkers(const WorkerMessage& message) {
  for (const auto& worker : this->workers) {
    worker->Post(message);
  }
}

void EntryProgram::Leave() {
  LogEvent(Severity::kInfo, "entry_leaving")
      .With("lag_ms", this->settings.online.drain_lag.count())
      .With("limit_ms", this->settings.online.drain_limit.count());
  this->control.Post(LeaveFleet{});
  this->PostToWorkers(ReadinessChanged{online::Readiness::kLeaving});
  this->lag_timer = this->timers->After(this->settings.online.drain_lag,
                                        [this] { this->PostToWorkers(StopListening{}); });
  this->limit_timer =
      this->timers->After(this->settings.online.drain_lag + this->settings.online.drain_limit,
                          [this] { this->Abort("drain_limit"); });
}

void EntryProgram::Abort(const char* reason) {
  LogEvent(Severity::kWarning, "entry_aborts_open_requests").With("reason", reason);
  this->PostToWorkers(AbortOpenRequests{});
  this->PostToWorkers(StopListening{});
  this->limit_timer =
      this->timers->After(kAbortFlushTime, [this] { this->loop.Quit(framework::kExitFailure); });
}

void EntryProgram::OnWorkerReady() {
  this->ready_workers += 1;
  if (this->ready_workers == static_cast<int>(this->workers.size())) {
    this->control.Post(WorkersReady{});
  }
}

void EntryProgram::OnWorkerDrained(const WorkerDrained& drained) {
  this->drained_workers += 1;
  this->aborted_answers += drained.aborted;
  if (this->drained_workers < static_cast<int>(this->workers.size())) {
    return;
  }
  LogEvent(Severity::kInfo, "entry_drained").With("cut", this->aborted_answers);
  this->loop.Quit(this->aborted_answers == 0 ? framework::kExitOk : framework::kExitFailure);
}

void EntryProgram::OnTaskFailed(const TaskFailed& failed) {
  LogEvent(Severity::kError, "listen_failed").With("reason", failed.reason);
  this->loop.Quit(framework::kExitFailure);
}

void EntryProgram::CheckFiles() {
  if (this->settings_watch.HasChanged()) {
    this->ReloadCallers();
  }
  if (this->tls_watch.HasChanged()) {
    this->PostToWorkers(TlsChanged{});
    LogEvent(Severity::kInfo, "tls_reloaded");
  }
}

void EntryProgram::ReloadCallers() {
  boost::leaf::try_handle_all(
      [&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(read, InstanceSettings::Read(this->settings_file));
        const auto callers = std::make_shared<const online::CallerRegistry>(read.online.callers);
        this->PostToWorkers(CallersChanged{callers});
        this->control.Post(OperatorsChanged{callers});
        LogEvent(Severity::kInfo, "callers_reloaded").With("callers", read.online.callers.size());
        return {};
      },
      [](const framework::SettingsProblems& found) {
        for (const framework::SettingsProblem& problem : found.problems) {
          LogEvent(Severity::kError, "settings_reload_refused")
              .With("problem", framework::Describe(problem));
        }
      },
      [] { LogEvent(Severity::kError, "settings_reload_refused"); });
}

}  // namespace lentilhead::apps
