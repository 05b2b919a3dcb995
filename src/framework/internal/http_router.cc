#include "framework/http_router.h"

#include <utility>

#include "framework/http_error.h"

namespace lentilhead::framework {

namespace {

bool Matches(std::string_view pattern, std::string_view path) {
  if (!pattern.empty() && pattern.back() == '/') {
    return path.substr(0, pattern.size()) == pattern;
  }
  return pattern == path;
}

}  // namespace

void HttpRouter::Add(std::string method, std::string path, Handler handler) {
  this->entries.push_back({std::move(method), std::move(path), std::move(handler), false});
}

void HttpRouter::AddStreamed(std::string method, std::string path, Handler handler) {
  this->entries.push_back({std::move(method), std::move(path), std::move(handler), true});
}

void HttpRouter::OnRefused(std::function<void(int)> callback) {
  this->on_refused = std::move(callback);
}

bool HttpRouter::RouteHead(const std::shared_ptr<HttpExchange>& exchange) const {
  bool path_known = false;
  const Entry* entry = this->Find(exchange->Method(), exchange->Path(), &path_known);
  if (entry == nullptr || !entry->streamed) {
    return false;
  }
  entry->handler(exchange);
  return true;
}

void HttpRouter::Route(const std::shared_ptr<HttpExchange>& exchange) const {
  bool path_known = false;
  const Entry* entry = this->Find(exchange->Method(), exchange->Path(), &path_known);
  if (entry != nullptr) {
    entry->handler(exchange);
    return;
  }
  const int status = path_known ? 405 : 404;
  if (this->on_refused) {
    this->on_refused(status);
  }
  const char* code = path_known ? "method_not_allowed" : "unknown_path";
  const char* message = path_known ? "the path does not take this method" : "the path is unknown";
  RespondError(*exchange,
               {status, "invalid_request_error", code, message, std::nullopt, "not_run"});
}

const HttpRouter::Entry* HttpRouter::Find(std::string_view method, std::string_view path,
                                          bool* path_known) const {
  const Entry* best = nullptr;
  for (const Entry& entry : this->entries) {
    if (!Matches(entry.path, path)) {
      continue;
    }
    *path_known = true;
    const bool method_matches = entry.method == "*" || entry.method == method;
    if (method_matches && (best == nullptr || entry.path.size() > best->path.size())) {
      best = &entry;
    }
  }
  return best;
}

}  // namespace lentilhead::framework
