#pragma once

#include <functional>
#include <list>
#include <string>

#include "gateway/cancel_scope.h"
#include "net/http_types.h"

namespace lentilhead::gateway::internal {

/// A request that has been read and not yet answered.
struct OpenRequest {
  std::string id;
  net::SteadyTime arrival;
  CancelScope& cancel;
};

/// The requests that are being answered.
class OpenRequests {
 public:
  /// Keeps a request listed while the object lives.
  class Entry {
   public:
    Entry(OpenRequests& requests, OpenRequest request)
        : requests(requests),
          position(requests.list.insert(requests.list.end(), std::move(request))) {}
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;
    ~Entry() { this->requests.list.erase(this->position); }

   private:
    OpenRequests& requests;
    std::list<OpenRequest>::iterator position;
  };

  [[nodiscard]] const std::list<OpenRequest>& All() const { return this->list; }

 private:
  std::list<OpenRequest> list;
};

}  // namespace lentilhead::gateway::internal
