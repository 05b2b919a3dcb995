#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhead::framework {

/// 64-bit hash that is equal on every instance and version. Not for secrets.
std::uint64_t Hash(std::string_view data, std::uint64_t seed = 0);

/// SHA-256 of data in lower-case hexadecimal.
std::string Sha256Hex(std::string_view data);

/// Orders candidates by their rendezvous weight for a key, heaviest first.
/// @return indices into `candidates`.
std::vector<std::size_t> RendezvousOrder(std::string_view key,
                                         const std::vector<std::string>& candidates);

/// Returns the index of the heaviest candidate for a key; candidates must not be empty.
std::size_t RendezvousOwner(std::string_view key, const std::vector<std::string>& candidates);

/// Compares two secrets in a time that depends only on their lengths.
bool EqualInConstantTime(std::string_view left, std::string_view right);

/// Returns 16 random bytes in hexadecimal, for identifiers.
std::string RandomId();

}  // namespace lentilhead::framework
