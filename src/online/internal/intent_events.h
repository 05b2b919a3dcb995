#pragma once

#include <variant>
#include <vector>

#include "datastore/types/table_error.h"
#include "datastore/types/table_row.h"
#include "online/internal/attempt_effects.h"

namespace lentilhead::online::internal {

/// The last WriteRow succeeded.
struct RowWritten {
  datastore::TableRow row;
};

/// The last WriteRow failed.
struct RowNotWritten {
  datastore::TableErrorKind kind;
};

/// The last ReadRow found the row.
struct RowRead {
  datastore::TableRow row;
};

/// The last ReadRow failed.
struct RowNotRead {
  datastore::TableErrorKind kind;
};

/// The call ended with an endpoint's answer.
struct RunAnswered {
  WholeAnswer answer;
};

/// The call ended without an answer.
struct RunRefused {
  Refusal refusal;
};

/// The time that the caller waits for the outcome to be recorded has elapsed.
struct RecordWaitElapsed {};

using IntentEvent = std::variant<RowWritten, RowNotWritten, RowRead, RowNotRead, RunAnswered,
                                 RunRefused, RecordWaitElapsed>;

/// Inserts the row if its etag is empty, replaces the row of that etag otherwise.
struct WriteRow {
  datastore::TableRow row;
  bool outcome = false;  ///< Records an outcome; retried for longer than the caller waits.
};

struct ReadRow {
  std::string partition;
  std::string key;
};

/// Sends the call to an endpoint. Emitted at most once.
struct SendCall {};

/// Answers the caller.
struct RespondAnswer {
  WholeAnswer answer;
  bool replayed = false;
};

/// Answers the caller with an error.
struct RespondRefusal {
  Refusal refusal;
};

using IntentEffect = std::variant<WriteRow, ReadRow, SendCall, RespondAnswer, RespondRefusal>;
using IntentEffects = std::vector<IntentEffect>;

}  // namespace lentilhead::online::internal
