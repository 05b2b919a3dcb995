#include "standin/engine/internal/repeating_connection.h"

#include <array>
#include <cstdlib>
#include <string_view>
#include <utility>

namespace lentilhead::standin::internal {

namespace {

constexpr std::size_t kReadBytes = 16'384;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLengthField = "Content-Length: ";

std::size_t BodyLength(const std::string& head) {
  const std::size_t field = head.find(kLengthField);
  return field == std::string::npos
             ? 0
             : std::strtoul(head.c_str() + field + kLengthField.size(), nullptr, 10);
}

std::string PathOf(const std::string& head) {
  const std::size_t start = head.find(' ') + 1;
  return head.substr(start, head.find(' ', start) - start);
}

}  // namespace

RepeatingConnection::RepeatingConnection(GSocketConnection* connection,
                                         const RepeatingServer::AnswerHandler& answer)
    : connection(G_SOCKET_CONNECTION(g_object_ref(connection))),
      socket(g_socket_connection_get_socket(connection)),
      source(g_socket_create_source(this->socket, G_IO_IN, nullptr)),
      answer(answer) {
  g_source_set_callback(this->source, G_SOURCE_FUNC(HandleReadable), this, nullptr);
  g_source_attach(this->source, g_main_context_get_thread_default());
}

RepeatingConnection::~RepeatingConnection() {
  g_source_destroy(this->source);
  g_source_unref(this->source);
  g_object_unref(this->connection);
}

gboolean RepeatingConnection::HandleReadable(GSocket* socket, GIOCondition /*condition*/,
                                             gpointer self) {
  std::array<char, kReadBytes> bytes{};
  const gssize size = g_socket_receive(socket, bytes.data(), bytes.size(), nullptr, nullptr);
  if (size <= 0) {
    g_socket_close(socket, nullptr);
    return G_SOURCE_REMOVE;
  }
  auto* connection = static_cast<RepeatingConnection*>(self);
  connection->received.append(bytes.data(), static_cast<std::size_t>(size));
  connection->AnswerWhole();
  return G_SOURCE_CONTINUE;
}

void RepeatingConnection::AnswerWhole() {
  const std::size_t head_end = this->received.find(kHeadEnd);
  if (head_end == std::string::npos) {
    return;
  }
  const std::string head = this->received.substr(0, head_end);
  const std::size_t body_start = head_end + kHeadEnd.size();
  const std::size_t length = BodyLength(head);
  if (this->received.size() < body_start + length) {
    return;
  }
  const std::string body = this->answer(PathOf(head), this->received.substr(body_start, length));
  this->received.erase(0, body_start + length);
  const std::string next = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body;
  const std::string written = std::exchange(this->last_answer, next) + next;
  g_socket_send(this->socket, written.data(), written.size(), nullptr, nullptr);
}

}  // namespace lentilhead::standin::internal
