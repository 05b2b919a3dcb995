#pragma once

#include "net/memory_budget.h"

namespace lentilhead::net {

/// The part of a connection in a memory budget; gives it back when destroyed.
class HeldBytes {
 public:
  /// @param budget must outlive this object; null counts nothing.
  explicit HeldBytes(MemoryBudget* budget)
      : budget(budget), holder(budget == nullptr ? 0 : budget->Open()) {}
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;
  ~HeldBytes() {
    if (this->budget != nullptr) {
      this->budget->Close(this->holder);
    }
  }

  /// Sets the bytes that are held for the connection.
  void Set(std::size_t bytes) {
    if (this->budget != nullptr) {
      this->budget->SetHeld(this->holder, bytes);
    }
  }

  /// Records that a write has begun.
  void BeginWrite(SteadyTime now) {
    if (this->budget != nullptr) {
      this->budget->BeginWrite(this->holder, now);
    }
  }

  /// Records that the write has ended.
  void EndWrite() {
    if (this->budget != nullptr) {
      this->budget->EndWrite(this->holder);
    }
  }

  /// Whether no more bytes may be read for the connection.
  [[nodiscard]] bool MustPause() const {
    return this->budget != nullptr && this->budget->MustPause(this->holder);
  }

  [[nodiscard]] MemoryBudget* Budget() const { return this->budget; }
  [[nodiscard]] MemoryBudget::Holder Number() const { return this->holder; }

 private:
  MemoryBudget* budget;
  MemoryBudget::Holder holder;
};

}  // namespace lentilhead::net
