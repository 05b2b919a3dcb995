#include "batch/types/item_bitmap.h"

#include <glib.h>

#include <bit>

namespace lentilhead::batch {

namespace {

constexpr std::size_t kBitsPerByte = 8;

}  // namespace

ItemBitmap::ItemBitmap(std::size_t items)
    : items(items), bytes((items + kBitsPerByte - 1) / kBitsPerByte, 0) {}

framework::Result<ItemBitmap> ItemBitmap::Decode(std::size_t items, const std::string& text) {
  ItemBitmap bitmap(items);
  gsize size = 0;
  guchar* decoded = g_base64_decode(text.c_str(), &size);
  if (size != bitmap.bytes.size()) {
    g_free(decoded);
    return boost::leaf::new_error(BitmapError{items});
  }
  std::copy(decoded, decoded + size, bitmap.bytes.begin());
  g_free(decoded);
  for (const std::uint8_t byte : bitmap.bytes) {
    bitmap.count += static_cast<std::size_t>(std::popcount(byte));
  }
  return bitmap;
}

std::string ItemBitmap::Encode() const {
  gchar* text = g_base64_encode(this->bytes.data(), this->bytes.size());
  std::string result(text);
  g_free(text);
  return result;
}

bool ItemBitmap::Test(std::size_t item) const {
  return (this->bytes[item / kBitsPerByte] >> (item % kBitsPerByte) & 1U) != 0;
}

bool ItemBitmap::Set(std::size_t item) {
  if (this->Test(item)) {
    return false;
  }
  this->bytes[item / kBitsPerByte] |= static_cast<std::uint8_t>(1U << (item % kBitsPerByte));
  this->count += 1;
  return true;
}

bool ItemBitmap::Contains(const ItemBitmap& other) const {
  if (this->items != other.items) {
    return false;
  }
  for (std::size_t index = 0; index < this->bytes.size(); ++index) {
    if ((other.bytes[index] & ~this->bytes[index]) != 0) {
      return false;
    }
  }
  return true;
}

}  // namespace lentilhead::batch
