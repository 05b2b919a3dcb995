#include "datastore/internal/key_codec.h"

#include <glib.h>

#include <string_view>

namespace lentilhead::datastore::internal {

namespace {

constexpr std::string_view kEscaped = "/\\#?%~";
constexpr std::string_view kDigits = "0123456789ABCDEF";
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;
constexpr unsigned int kBitsPerDigit = 4;

bool MustEscape(char letter) {
  const auto code = static_cast<unsigned char>(letter);
  return code < kFirstPrintable || code == kDelete || kEscaped.find(letter) != kEscaped.npos;
}

}  // namespace

std::string EncodeKey(const std::string& key) {
  std::string encoded;
  for (const char letter : key) {
    if (!MustEscape(letter)) {
      encoded.push_back(letter);
      continue;
    }
    const auto code = static_cast<unsigned char>(letter);
    encoded.push_back('~');
    encoded.push_back(kDigits[code >> kBitsPerDigit]);
    encoded.push_back(kDigits[code & 0xfU]);
  }
  return encoded;
}

std::string DecodeKey(const std::string& encoded) {
  std::string key;
  for (std::size_t index = 0; index < encoded.size(); ++index) {
    const bool escaped = encoded[index] == '~' && index + 2 < encoded.size();
    if (!escaped) {
      key.push_back(encoded[index]);
      continue;
    }
    const int high = g_ascii_xdigit_value(encoded[index + 1]);
    const int low = g_ascii_xdigit_value(encoded[index + 2]);
    key.push_back(static_cast<char>((high << kBitsPerDigit) | low));
    index += 2;
  }
  return key;
}

}  // namespace lentilhead::datastore::internal
