#include "net/framing.h"

namespace lentilhead::net {

namespace {

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kVersion10 = 10;  // as Beast counts it
constexpr unsigned kVersion11 = 11;

}  // namespace

bool IsBodyAmbiguous(const http::fields& headers) {
  const auto coding = headers.find(http::field::transfer_encoding);
  if (coding == headers.end()) {
    return false;
  }
  return headers.find(http::field::content_length) != headers.end() ||
         headers.count(http::field::transfer_encoding) > 1 ||
         !beast::iequals(coding->value(), "chunked");
}

std::optional<HeadProblem> ProblemOf(const http::response_header<>& head) {
  if (head.result_int() < kMinStatus || head.result_int() > kMaxStatus) {
    return HeadProblem::kStatus;
  }
  if (head.version() != kVersion10 && head.version() != kVersion11) {
    return HeadProblem::kVersion;
  }
  // HTTP/1.0 has no transfer codings, so an old reader takes chunks for the body.
  const bool is_old_with_coding =
      head.version() == kVersion10 && head.find(http::field::transfer_encoding) != head.end();
  if (is_old_with_coding || IsBodyAmbiguous(head)) {
    return HeadProblem::kFraming;
  }
  return std::nullopt;
}

bool HasFoldedLine(std::string_view bytes) {
  const std::string_view head = bytes.substr(0, bytes.find("\r\n\r\n"));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

}  // namespace lentilhead::net
