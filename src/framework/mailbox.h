#pragma once

#include <glib.h>

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace lentilhead::framework {

/// Typed queue of messages into one task.
///
/// Post() may be called from any thread; the handler runs on the main context that owns the
/// mailbox, one message at a time, in posting order.
template <class Message>
class Mailbox {
 public:
  using Handler = std::function<void(Message)>;

  /// @param context main context on which the handler runs.
  /// @param handler called for each message.
  Mailbox(GMainContext* context, Handler handler)
      : state(std::make_shared<State>(context, std::move(handler))) {}

  ~Mailbox() {
    const std::lock_guard lock(this->state->mutex);
    this->state->closed = true;
    this->state->messages.clear();
  }

  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  /// Queues a message; a mailbox that is being destroyed drops it.
  void Post(Message message) const { Post(this->state, std::move(message)); }

  /// Returns a function that posts and may outlive the mailbox.
  [[nodiscard]] std::function<void(Message)> Sender() const {
    return [target = this->state](Message message) { Post(target, std::move(message)); };
  }

 private:
  struct State {
    State(GMainContext* context, Handler handler)
        : context(g_main_context_ref(context)), handler(std::move(handler)) {}
    ~State() { g_main_context_unref(this->context); }
    State(const State&) = delete;
    State& operator=(const State&) = delete;

    GMainContext* context;
    Handler handler;
    std::mutex mutex;
    std::deque<Message> messages;
    bool closed = false;
  };

  static void Post(const std::shared_ptr<State>& state, Message message) {
    {
      const std::lock_guard lock(state->mutex);
      if (state->closed) {
        return;
      }
      state->messages.push_back(std::move(message));
      if (state->messages.size() > 1) {
        return;
      }
    }
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    auto* keep = new std::shared_ptr<State>(state);
    g_source_set_callback(source, Deliver, keep, Release);
    g_source_attach(source, state->context);
    g_source_unref(source);
  }

  static gboolean Deliver(gpointer data) {
    const std::shared_ptr<State> state = *static_cast<std::shared_ptr<State>*>(data);
    std::deque<Message> batch;
    {
      const std::lock_guard lock(state->mutex);
      batch.swap(state->messages);
    }
    for (Message& message : batch) {
      {
        const std::lock_guard lock(state->mutex);
        if (state->closed) {
          break;
        }
      }
      state->handler(std::move(message));
    }
    return G_SOURCE_REMOVE;
  }

  static void Release(gpointer data) { delete static_cast<std::shared_ptr<State>*>(data); }

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::framework
