#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "net/http_types.h"
#include "net/slow_reader.h"

namespace lentilhead::net {

/// Decides on the memory that a node uses for bytes which the other side of a connection has not
/// taken yet. Counts the bytes by connection; reads no clock and no socket.
///
/// A connection pauses when it holds more than a fixed share of the bytes that are still free. So
/// the connection that holds the most pauses first, and a nearly empty budget pauses none.
///
/// Without a limit the budget is not in force: it counts nothing, and pauses, ends and refuses
/// none.
class MemoryBudget {
 public:
  /// Number of a connection in the budget.
  using Holder = std::uint64_t;

  static constexpr std::size_t kMinLimit = std::size_t{4} << 20;
  /// Connections that hold less never pause, so that small answers pass a full budget.
  static constexpr std::size_t kMinPausedBytes = 16 << 10;
  /// Smaller bodies of requests are never refused.
  static constexpr std::size_t kLargeBodyBytes = 64 << 10;
  /// Copies of a request's body: as received, as sent, and that of the write in progress.
  static constexpr std::size_t kBodyCopies = 3;
  /// A reader of a full budget is ended only if it has had at least this time for one write.
  static constexpr std::chrono::milliseconds kMinWriteTime{1000};
  /// A link may fail for 5 s while its caller still waits for an answer.
  static constexpr std::chrono::milliseconds kMaxUnreadTime{6000};

  /// Constructs a budget that is not in force.
  MemoryBudget() = default;
  /// @param limit most bytes held for all connections.
  explicit MemoryBudget(std::size_t limit) : limit(limit) {}

  /// Sets the most bytes held for all connections. Connections that were added before it are not
  /// counted.
  void SetLimit(std::size_t bytes) { this->limit = bytes; }

  /// Whether there is a limit.
  [[nodiscard]] bool IsInForce() const { return this->limit > 0; }

  /// Adds a connection that holds nothing. @return 0 if the budget is not in force.
  [[nodiscard]] Holder Open();
  /// Removes a connection with the bytes that it holds.
  void Close(Holder holder);

  /// Sets the bytes that are held for a connection.
  void SetHeld(Holder holder, std::size_t bytes);

  /// Records that a write to a caller has begun.
  void BeginWrite(Holder holder, SteadyTime now);
  /// Records how many bytes the caller has acknowledged since its connection was opened.
  void RecordAcknowledged(Holder holder, std::uint64_t bytes, SteadyTime now);
  /// Records that the write has ended.
  void EndWrite(Holder holder);

  /// Whether no more bytes may be read for a connection until some of its bytes were taken.
  [[nodiscard]] bool MustPause(Holder holder) const;

  /// Whether reads are to be small, as many connections share what is free.
  [[nodiscard]] bool IsTight() const;

  /// Whether a request may be read. @param body_bytes bytes of its body, as far as known.
  [[nodiscard]] bool AdmitsBody(std::size_t body_bytes) const;

  /// Names the caller whose connection is to be closed now, if there is one: first those that have
  /// taken nothing for kMaxUnreadTime; while the budget is nearly used up, the one that holds the
  /// most and has not taken it within kMinWriteTime.
  [[nodiscard]] std::optional<SlowReader> NextToEnd(SteadyTime now) const;

  /// Bytes held for all connections.
  [[nodiscard]] std::size_t Held() const { return this->held; }
  /// Most bytes held for all connections; 0 if the budget is not in force.
  [[nodiscard]] std::size_t Limit() const { return this->limit; }

 private:
  struct Connection {
    std::size_t held = 0;
    bool is_writing = false;
    SteadyTime write_began;
    SteadyTime taken_at;  ///< when the caller last took bytes of the write, or its beginning
    std::optional<std::uint64_t> acknowledged;
  };

  /// The connection, or null for those that are not counted.
  [[nodiscard]] Connection* Find(Holder holder);
  [[nodiscard]] std::size_t Free() const {
    return this->held < this->limit ? this->limit - this->held : 0;
  }
  /// Bytes that one connection may hold.
  [[nodiscard]] std::size_t Threshold() const;
  [[nodiscard]] bool IsNearlyUsedUp() const;

  std::size_t limit = 0;
  std::size_t held = 0;
  Holder last = 0;
  std::unordered_map<Holder, Connection> connections;
};

}  // namespace lentilhead::net
