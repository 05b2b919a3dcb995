#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "framework/http_exchange.h"

namespace lentilhead::framework {

/// Chooses the handler of a request by method and path.
///
/// A path that ends in `/` matches every path below it; the longest match wins. Unknown paths are
/// answered with 404 and known paths with another method with 405, both as typed JSON errors.
class HttpRouter {
 public:
  using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  /// Adds a handler that runs when the whole body has been read.
  void Add(std::string method, std::string path, Handler handler);

  /// Adds a handler that runs when the headers have been read and calls HttpExchange::ReadBody().
  void AddStreamed(std::string method, std::string path, Handler handler);

  /// Runs when a request finds no handler, with the status that is answered.
  void OnRefused(std::function<void(int status)> callback);

  /// Called by the server after the headers. @return true if a streamed handler took the request.
  bool RouteHead(const std::shared_ptr<HttpExchange>& exchange) const;

  /// Called by the server after the body.
  void Route(const std::shared_ptr<HttpExchange>& exchange) const;

 private:
  struct Entry {
    std::string method;
    std::string path;
    Handler handler;
    bool streamed;
  };

  [[nodiscard]] const Entry* Find(std::string_view method, std::string_view path,
                                  bool* path_known) const;

  std::vector<Entry> entries;
  std::function<void(int)> on_refused;
};

}  // namespace lentilhead::framework
