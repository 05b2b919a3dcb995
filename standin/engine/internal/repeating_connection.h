#pragma once

#include <gio/gio.h>

#include <string>

#include "standin/engine/repeating_server.h"

namespace lentilhead::standin::internal {

/// A connection of a RepeatingServer.
class RepeatingConnection {
 public:
  RepeatingConnection(GSocketConnection* connection, const RepeatingServer::AnswerHandler& answer);
  RepeatingConnection(const RepeatingConnection&) = delete;
  RepeatingConnection& operator=(const RepeatingConnection&) = delete;
  ~RepeatingConnection();

 private:
  static gboolean HandleReadable(GSocket* socket, GIOCondition condition, gpointer self);

  /// Answers the request received, if it is whole.
  void AnswerWhole();

  GSocketConnection* connection;
  GSocket* socket;
  GSource* source;
  const RepeatingServer::AnswerHandler& answer;
  std::string received;
  std::string last_answer;
};

}  // namespace lentilhead::standin::internal
