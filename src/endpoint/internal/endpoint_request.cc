#include "endpoint/endpoint_request.h"

namespace lentilhead::endpoint {

framework::HttpRequest RequestTo(const std::string& address, const std::string& path) {
  framework::HttpRequest request;
  request.url = "http://" + address + path;
  request.new_connection = true;
  return request;
}

}  // namespace lentilhead::endpoint
