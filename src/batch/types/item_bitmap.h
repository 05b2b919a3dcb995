#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "framework/result.h"

namespace lentilhead::batch {

/// The encoded bitmap does not have the expected size.
struct BitmapError {
  std::size_t expected_items = 0;
};

/// One bit for each item of a job.
class ItemBitmap {
 public:
  explicit ItemBitmap(std::size_t items = 0);

  /// Decodes the base64 text of Encode(). @return a BitmapError if the size does not match `items`.
  static framework::Result<ItemBitmap> Decode(std::size_t items, const std::string& text);

  [[nodiscard]] std::string Encode() const;
  [[nodiscard]] bool Test(std::size_t item) const;

  /// Sets a bit. @return false if it was set already.
  bool Set(std::size_t item);

  [[nodiscard]] std::size_t Size() const { return this->items; }
  [[nodiscard]] std::size_t Count() const { return this->count; }

  /// Returns true if every bit of `other` is also set in this bitmap.
  [[nodiscard]] bool Contains(const ItemBitmap& other) const;

 private:
  std::size_t items;
  std::size_t count = 0;
  std::vector<std::uint8_t> bytes;
};

}  // namespace lentilhead::batch
