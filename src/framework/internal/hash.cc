#include "framework/hash.h"

#include <sodium.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <numeric>

namespace lentilhead::framework {

namespace {

constexpr std::size_t kRandomIdBytes = 16;

std::string Hex(const unsigned char* bytes, std::size_t size) {
  std::string text(size * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes, size);
  text.pop_back();
  return text;
}

std::uint64_t Weight(std::string_view candidate, std::uint64_t key_hash) {
  return Hash(candidate, key_hash);
}

}  // namespace

std::uint64_t Hash(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
  crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char*>(data.data()),
                     data.size());
  return Hex(digest.data(), digest.size());
}

std::vector<std::size_t> RendezvousOrder(std::string_view key,
                                         const std::vector<std::string>& candidates) {
  const std::uint64_t key_hash = Hash(key);
  std::vector<std::uint64_t> weights(candidates.size());
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    weights[index] = Weight(candidates[index], key_hash);
  }
  std::vector<std::size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    return weights[left] != weights[right] ? weights[left] > weights[right]
                                           : candidates[left] < candidates[right];
  });
  return order;
}

std::size_t RendezvousOwner(std::string_view key, const std::vector<std::string>& candidates) {
  const std::uint64_t key_hash = Hash(key);
  std::size_t owner = 0;
  std::uint64_t heaviest = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const std::uint64_t weight = Weight(candidates[index], key_hash);
    const bool wins =
        weight > heaviest || (weight == heaviest && candidates[index] < candidates[owner]);
    if (index == 0 || wins) {
      owner = index;
      heaviest = weight;
    }
  }
  return owner;
}

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  return left.size() == right.size() && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string RandomId() {
  std::array<unsigned char, kRandomIdBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  return Hex(bytes.data(), bytes.size());
}

}  // namespace lentilhead::framework
