#include "net/framing.h"

namespace lentilhead::net {

bool IsBodyAmbiguous(const Request& request) {
  const auto coding = request.find(http::field::transfer_encoding);
  if (coding == request.end()) {
    return false;
  }
  return request.find(http::field::content_length) != request.end() ||
         request.count(http::field::transfer_encoding) > 1 ||
         !beast::iequals(coding->value(), "chunked");
}

}  // namespace lentilhead::net
