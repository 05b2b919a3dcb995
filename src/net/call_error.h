#pragma once

namespace lentilhead::net {

/// How a call failed.
enum class CallError {
  kNotSent,   ///< no byte of the request was written, so the server has not received it
  kNoAnswer,  ///< the request was written at least in part, but no complete answer arrived
};

}  // namespace lentilhead::net
