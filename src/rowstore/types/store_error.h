#pragma once

#include <string_view>

namespace lentilhead::rowstore {

/// Reasons why a call to the store failed.
enum class StoreError {
  kNotApplied,      ///< the call was not carried out; for a read, any failure
  kUnknown,         ///< no answer: the call may have been carried out, or may be later
  kHistoryExpired,  ///< the feed no longer has the changes after the version; read the table again
  kRejected,        ///< the store does not accept the call
};

/// Returns the name of an error for logs.
[[nodiscard]] std::string_view NameOf(StoreError error);

}  // namespace lentilhead::rowstore
