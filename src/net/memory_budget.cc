#include "net/memory_budget.h"

#include <algorithm>

namespace lentilhead::net {

namespace {

using std::chrono::milliseconds;

// A connection may hold this part of the free bytes. With 36 MB, an answer that is collected whole
// (256 KiB and a read) is not paused before half of the budget is used, and 500 connections may
// hold 64 KiB each.
constexpr std::size_t kFreeParts = 64;
// Below this, reads are small: a large read alone would reach the threshold.
constexpr std::size_t kTightThreshold = 128 << 10;
// Parts of 16 of the limit, above which slow readers are ended and large bodies are refused.
constexpr std::size_t kNearlyUsedUpParts = 14;
constexpr std::size_t kNearlyEmptyParts = 2;
constexpr std::size_t kParts = 16;

}  // namespace

std::string_view NameOf(SlowReaderCause cause) {
  return cause == SlowReaderCause::kUnread ? "unread" : "budget_full";
}

MemoryBudget::Holder MemoryBudget::Open() {
  if (!this->IsInForce()) {
    return 0;
  }
  this->connections.emplace(++this->last, Connection{});
  return this->last;
}

void MemoryBudget::Close(Holder holder) {
  this->SetHeld(holder, 0);
  this->connections.erase(holder);
}

MemoryBudget::Connection* MemoryBudget::Find(Holder holder) {
  const auto found = this->connections.find(holder);
  return found == this->connections.end() ? nullptr : &found->second;
}

void MemoryBudget::SetHeld(Holder holder, std::size_t bytes) {
  if (Connection* connection = this->Find(holder); connection != nullptr) {
    this->held = this->held - connection->held + bytes;
    connection->held = bytes;
  }
}

void MemoryBudget::BeginWrite(Holder holder, SteadyTime now) {
  if (Connection* connection = this->Find(holder); connection != nullptr) {
    connection->is_writing = true;
    connection->write_began = now;
    connection->taken_at = now;
    connection->acknowledged.reset();
  }
}

void MemoryBudget::RecordAcknowledged(Holder holder, std::uint64_t bytes, SteadyTime now) {
  Connection* connection = this->Find(holder);
  if (connection == nullptr) {
    return;
  }
  // The first figure may count bytes of before the write.
  if (connection->acknowledged && *connection->acknowledged != bytes) {
    connection->taken_at = now;
  }
  connection->acknowledged = bytes;
}

void MemoryBudget::EndWrite(Holder holder) {
  if (Connection* connection = this->Find(holder); connection != nullptr) {
    connection->is_writing = false;
  }
}

std::size_t MemoryBudget::Threshold() const {
  return std::max(kMinPausedBytes, this->Free() / kFreeParts);
}

bool MemoryBudget::IsNearlyUsedUp() const {
  return this->held >= this->limit / kParts * kNearlyUsedUpParts;
}

bool MemoryBudget::MustPause(Holder holder) const {
  const auto found = this->connections.find(holder);
  return found != this->connections.end() && found->second.held >= this->Threshold();
}

bool MemoryBudget::IsTight() const {
  return this->IsInForce() && this->Threshold() < kTightThreshold;
}

bool MemoryBudget::AdmitsBody(std::size_t body_bytes) const {
  if (!this->IsInForce() || body_bytes < kLargeBodyBytes) {
    return true;
  }
  // The configuration may allow bodies that exceed the budget; they are read one at a time.
  const bool is_nearly_empty = this->held < this->limit / kParts * kNearlyEmptyParts;
  const std::size_t usable = this->limit / kParts * kNearlyUsedUpParts;
  return is_nearly_empty ||
         (this->held < usable && body_bytes <= (usable - this->held) / kBodyCopies);
}

std::optional<SlowReader> MemoryBudget::NextToEnd(SteadyTime now) const {
  std::optional<SlowReader> largest;
  for (const auto& [holder, connection] : this->connections) {
    if (!connection.is_writing || connection.held == 0) {
      continue;
    }
    const auto unread = ToMilliseconds(now - connection.taken_at);
    if (unread >= kMaxUnreadTime) {
      return SlowReader{holder, SlowReaderCause::kUnread, connection.held, unread};
    }
    const auto waited = ToMilliseconds(now - connection.write_began);
    const bool is_larger = !largest || connection.held > largest->held ||
                           (connection.held == largest->held && waited > largest->waited);
    if (connection.held >= kMinPausedBytes && waited >= kMinWriteTime && is_larger) {
      largest = SlowReader{holder, SlowReaderCause::kBudgetFull, connection.held, waited};
    }
  }
  return this->IsNearlyUsedUp() ? largest : std::nullopt;
}

}  // namespace lentilhead::net
