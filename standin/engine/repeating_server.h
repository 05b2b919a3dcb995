#pragma once

#include <gio/gio.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lentilhead::standin {

namespace internal {
class RepeatingConnection;
}

/// Endpoint that answers twice, the second time late: before each answer, it writes the answer
/// before it on the connection once more. It runs on the calling thread's main context.
class RepeatingServer {
 public:
  /// @param path and body of a request. @return JSON of its answer.
  using AnswerHandler =
      std::function<std::string(const std::string& path, const std::string& body)>;

  explicit RepeatingServer(AnswerHandler answer);
  RepeatingServer(const RepeatingServer&) = delete;
  RepeatingServer& operator=(const RepeatingServer&) = delete;
  ~RepeatingServer();

  /// `ip:port`; empty if the server cannot listen.
  [[nodiscard]] const std::string& Address() const { return this->address; }

 private:
  static gboolean HandleIncoming(GSocketService* service, GSocketConnection* connection,
                                 GObject* source, gpointer self);

  AnswerHandler answer;
  GSocketService* service;
  std::string address;
  std::vector<std::unique_ptr<internal::RepeatingConnection>> connections;
};

}  // namespace lentilhead::standin
