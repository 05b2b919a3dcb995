#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lentilhead::framework {

/// Settings of one HTTP listener.
struct HttpServerSettings {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;   ///< 0 takes a free port.
  bool share_port = false;  ///< Several listeners take connections of one port in turn.
  std::size_t max_body_size = 4 << 20;
  std::size_t max_header_size = 32 << 10;  ///< Of all headers of a request together.
  std::size_t max_connections = 4096;
  std::chrono::milliseconds header_timeout{10'000};  ///< From the connection to the headers.
  std::chrono::seconds idle_timeout{60};             ///< Between requests, and for each body.
  std::string tls_certificate_file;                  ///< PEM; empty listens without TLS.
  std::string tls_key_file;
};

}  // namespace lentilhead::framework
