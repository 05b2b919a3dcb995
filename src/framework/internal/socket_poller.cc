#include "framework/internal/socket_poller.h"

#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace lentilhead::framework::internal {

namespace {

constexpr int kEventsPerTurn = 256;

}  // namespace

SocketPoller::SocketPoller(GMainContext* context)
    : epoll(epoll_create1(EPOLL_CLOEXEC)), source(g_unix_fd_source_new(this->epoll, G_IO_IN)) {
  g_source_set_callback(this->source, G_SOURCE_FUNC(HandleReady), this, nullptr);
  g_source_attach(this->source, context);
}

SocketPoller::~SocketPoller() {
  g_source_destroy(this->source);
  g_source_unref(this->source);
  close(this->epoll);
}

std::uint64_t SocketPoller::Add(int socket, std::function<void()> on_readable) {
  const std::uint64_t id = this->next_id++;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLRDHUP;
  event.data.u64 = id;
  if (epoll_ctl(this->epoll, EPOLL_CTL_ADD, socket, &event) != 0) {
    return 0;
  }
  this->watches.emplace(id, Watch{socket, std::move(on_readable)});
  return id;
}

void SocketPoller::Remove(std::uint64_t id) {
  const auto found = this->watches.find(id);
  if (found == this->watches.end()) {
    return;
  }
  epoll_ctl(this->epoll, EPOLL_CTL_DEL, found->second.socket, nullptr);
  this->watches.erase(found);
}

gboolean SocketPoller::HandleReady(gint /*descriptor*/, GIOCondition /*condition*/, gpointer self) {
  static_cast<SocketPoller*>(self)->DispatchReady();
  return G_SOURCE_CONTINUE;
}

void SocketPoller::DispatchReady() {
  std::array<epoll_event, kEventsPerTurn> events{};
  const int count = epoll_wait(this->epoll, events.data(), kEventsPerTurn, 0);
  for (int index = 0; index < count; ++index) {
    // A callback may have removed the watch of a later event.
    const auto found = this->watches.find(events[static_cast<std::size_t>(index)].data.u64);
    if (found == this->watches.end()) {
      continue;
    }
    const std::function<void()> on_readable = found->second.on_readable;
    on_readable();
  }
}

}  // namespace lentilhead::framework::internal
