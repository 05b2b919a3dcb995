#include "framework/http_exchange.h"

#include <utility>

namespace lentilhead::framework {

HttpExchange::HttpExchange(SoupServerMessage* message)
    : message(static_cast<SoupServerMessage*>(g_object_ref(message))) {
  g_signal_connect(message, "finished", G_CALLBACK(HandleFinished), this);
  g_signal_connect(message, "disconnected", G_CALLBACK(HandleDisconnected), this);
  g_signal_connect(message, "got-chunk", G_CALLBACK(HandleChunk), this);
}

HttpExchange::~HttpExchange() {
  g_signal_handlers_disconnect_by_data(this->message, this);
  g_object_unref(this->message);
}

std::string_view HttpExchange::Method() const {
  return soup_server_message_get_method(this->message);
}

std::string_view HttpExchange::Path() const {
  return g_uri_get_path(soup_server_message_get_uri(this->message));
}

std::optional<std::string> HttpExchange::Query(const char* name) const {
  const char* query = g_uri_get_query(soup_server_message_get_uri(this->message));
  if (query == nullptr) {
    return std::nullopt;
  }
  GHashTable* form = soup_form_decode(query);
  const auto* value = static_cast<const char*>(g_hash_table_lookup(form, name));
  std::optional<std::string> result;
  if (value != nullptr) {
    result = value;
  }
  g_hash_table_unref(form);
  return result;
}

std::string HttpExchange::QueryString() const {
  const char* query = g_uri_get_query(soup_server_message_get_uri(this->message));
  return query == nullptr ? std::string() : std::string(query);
}

std::optional<std::string> HttpExchange::Header(const char* name) const {
  SoupMessageHeaders* headers = soup_server_message_get_request_headers(this->message);
  const char* value = soup_message_headers_get_one(headers, name);
  if (value == nullptr) {
    return std::nullopt;
  }
  return std::string(value);
}

std::string HttpExchange::RemoteAddress() const {
  const char* host = soup_server_message_get_remote_host(this->message);
  return host == nullptr ? std::string() : std::string(host);
}

std::string_view HttpExchange::Body() const {
  SoupMessageBody* body = soup_server_message_get_request_body(this->message);
  if (body->data == nullptr) {
    GBytes* flat = soup_message_body_flatten(body);
    g_bytes_unref(flat);
  }
  return {body->data, static_cast<std::size_t>(body->length)};
}

void HttpExchange::ReadBody(ChunkHandler chunk_handler, std::function<void()> on_end) {
  this->on_chunk = std::move(chunk_handler);
  this->on_body_end = std::move(on_end);
}

void HttpExchange::PauseBody() {
  if (this->closed || this->paused) {
    return;
  }
  this->paused = true;
  soup_server_message_pause(this->message);
}

void HttpExchange::ResumeBody() { this->Unpause(); }

void HttpExchange::SetHeader(const char* name, std::string_view value) {
  soup_message_headers_replace(soup_server_message_get_response_headers(this->message), name,
                               std::string(value).c_str());
}

void HttpExchange::Respond(int status, const char* content_type, std::string_view body) {
  if (this->closed || this->responding) {
    return;
  }
  this->responding = true;
  this->ended = true;
  soup_server_message_set_status(this->message, static_cast<guint>(status), nullptr);
  soup_server_message_set_response(this->message, content_type, SOUP_MEMORY_COPY, body.data(),
                                   body.size());
  this->Unpause();
}

void HttpExchange::StartStream(int status, const char* content_type) {
  if (this->closed || this->responding) {
    return;
  }
  this->responding = true;
  soup_server_message_set_status(this->message, static_cast<guint>(status), nullptr);
  SoupMessageHeaders* headers = soup_server_message_get_response_headers(this->message);
  soup_message_headers_set_content_type(headers, content_type, nullptr);
  soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate(soup_server_message_get_response_body(this->message), FALSE);
  this->paused = true;
  this->Unpause();
}

void HttpExchange::WriteChunk(std::string_view chunk) {
  if (this->closed || this->ended || chunk.empty()) {
    return;
  }
  soup_message_body_append(soup_server_message_get_response_body(this->message), SOUP_MEMORY_COPY,
                           chunk.data(), chunk.size());
  this->paused = true;
  this->Unpause();
}

void HttpExchange::FinishStream() {
  if (this->closed || this->ended) {
    return;
  }
  this->ended = true;
  soup_message_body_complete(soup_server_message_get_response_body(this->message));
  this->paused = true;
  this->Unpause();
}

void HttpExchange::Abort() {
  if (this->closed) {
    return;
  }
  const std::shared_ptr<HttpExchange> keep = this->shared_from_this();
  GIOStream* connection = soup_server_message_steal_connection(this->message);
  if (connection != nullptr) {
    g_io_stream_close(connection, nullptr, nullptr);
    g_object_unref(connection);
  }
  this->Close(false);
}

void HttpExchange::OnClosed(std::function<void(bool)> callback) {
  this->on_closed = std::move(callback);
}

void HttpExchange::HandleFinished(SoupServerMessage* /*message*/, gpointer self) {
  auto* exchange = static_cast<HttpExchange*>(self);
  exchange->Close(exchange->ended);
}

void HttpExchange::HandleDisconnected(SoupServerMessage* /*message*/, gpointer self) {
  static_cast<HttpExchange*>(self)->Close(false);
}

void HttpExchange::HandleChunk(SoupServerMessage* /*message*/, GBytes* chunk, gpointer self) {
  auto* exchange = static_cast<HttpExchange*>(self);
  std::size_t size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(chunk, &size));
  exchange->body_size += size;
  if (exchange->body_size > exchange->max_body_size && !exchange->body_too_large) {
    exchange->body_too_large = true;
    SoupMessageBody* body = soup_server_message_get_request_body(exchange->message);
    soup_message_body_set_accumulate(body, FALSE);
    soup_message_body_truncate(body);
  }
  if (exchange->on_chunk && !exchange->body_too_large) {
    exchange->on_chunk({data, size});
  }
}

void HttpExchange::Close(bool completed) {
  if (this->closed) {
    return;
  }
  const std::shared_ptr<HttpExchange> keep = std::move(this->keep_alive);
  this->closed = true;
  this->on_chunk = nullptr;
  this->on_body_end = nullptr;
  const auto callback = std::exchange(this->on_closed, nullptr);
  if (callback) {
    callback(completed);
  }
}

void HttpExchange::Unpause() {
  if (this->closed || !this->paused) {
    return;
  }
  this->paused = false;
  soup_server_message_unpause(this->message);
}

}  // namespace lentilhead::framework
