#pragma once

#include <glib.h>

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace lentilhead::framework::internal {

/// Watches many sockets through one GLib source, by epoll.
///
/// GLib walks over every source at each turn of a main loop, and a source of a libsoup stream is a
/// chain of several. With this poller the cost of a turn grows with the sockets that are ready
/// instead of the sockets that are open.
class SocketPoller {
 public:
  /// @param context main context on which the callbacks run.
  explicit SocketPoller(GMainContext* context);
  SocketPoller(const SocketPoller&) = delete;
  SocketPoller& operator=(const SocketPoller&) = delete;
  ~SocketPoller();

  /// Calls back whenever a socket is readable or has been closed by its peer.
  /// @return identifier for Remove(), never 0; 0 if the socket cannot be watched.
  std::uint64_t Add(int socket, std::function<void()> on_readable);

  /// Ends a watch. Must be called before the socket is closed; unknown identifiers are ignored.
  void Remove(std::uint64_t id);

 private:
  struct Watch {
    int socket;
    std::function<void()> on_readable;
  };

  static gboolean HandleReady(gint descriptor, GIOCondition condition, gpointer self);
  void DispatchReady();

  int epoll;
  GSource* source;
  std::uint64_t next_id = 1;
  std::unordered_map<std::uint64_t, Watch> watches;
};

}  // namespace lentilhead::framework::internal
