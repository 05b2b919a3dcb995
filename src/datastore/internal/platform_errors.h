#pragma once

#include "datastore/types/object_error.h"
#include "datastore/types/table_error.h"
#include "framework/types/http_message.h"

namespace lentilhead::datastore::internal {

/// Whether a call changes the store, which decides if a lost answer leaves its outcome unknown.
enum class CallKind { kRead, kWrite };

/// Error of a call that got no HTTP response.
TableError TableErrorOf(const framework::HttpFailure& failure, CallKind kind);

/// Error of a call that got a response with an error status.
TableError TableErrorOf(const framework::HttpResponse& response, CallKind kind);

ObjectError ObjectErrorOf(const framework::HttpFailure& failure, CallKind kind);
ObjectError ObjectErrorOf(const framework::HttpResponse& response, CallKind kind);

}  // namespace lentilhead::datastore::internal
