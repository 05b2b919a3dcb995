#pragma once

namespace lentilhead::net {

/// How a call failed.
enum class CallError {
  kNotSent,   ///< no byte was written: the peer has not seen the call
  kNoAnswer,  ///< the call was written, in part or whole, and no whole answer came
};

}  // namespace lentilhead::net
