#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lentilhead::gateway {

/// Limits on what one answer of an endpoint may cost. An answer beyond them is broken off.
struct AnswerLimits {
  static constexpr std::uint32_t kMaxHeadBytes = 64 << 10;
  static constexpr std::size_t kMaxInterimHeads = 8;
  /// Bytes of the head of one chunk with its extensions, or of the trailer. Above the limit of the
  /// head, as the same buffer holds both.
  static constexpr std::size_t kMaxFramingBytes = 128 << 10;
  /// All bytes of an answer. Answers are forwarded piece by piece, so this bounds no memory.
  static constexpr std::size_t kMaxAnswerBytes = 128 << 20;
  /// Bytes read without a complete event; these are held in memory.
  static constexpr std::size_t kMaxEventBytes = 1 << 20;
  /// Above this, an encoded result does not fit into one transaction of the store.
  static constexpr std::size_t kMaxItemOutputBytes = 500 << 10;
  /// Bytes of an answer that reports an error to a batch job. Above the largest request, which an
  /// endpoint may repeat in it; none of it is kept.
  static constexpr std::size_t kMaxErrorBodyBytes = 16 << 20;
  /// Above this, a new connection costs less than the rest of an answer that nobody needs.
  static constexpr std::size_t kMaxDiscardedBytes = 256 << 10;
  /// As kMaxDiscardedBytes, for the time to read such a rest.
  static constexpr std::chrono::milliseconds kMaxDiscardTime{250};
};

}  // namespace lentilhead::gateway
