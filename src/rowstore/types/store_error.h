#pragma once

#include <string_view>

namespace lentilhead::rowstore {

/// Failure of a call to the store.
enum class StoreError {
  kNotApplied,      ///< the store says, or the connection shows, that the call was not carried out
  kUnknown,         ///< no answer: the call may have been carried out, or may be later
  kHistoryExpired,  ///< the wanted history is no longer kept; read the table try_again
  kRejected,        ///< the store does not accept the call as it is
};

/// Name of an error in logs.
[[nodiscard]] std::string_view NameOf(StoreError error);

}  // namespace lentilhead::rowstore
