#pragma once

#include <glib.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "batch/internal/api_parts.h"
#include "batch/internal/line_checker.h"
#include "batch/internal/open_entry.h"
#include "framework/http_exchange.h"

namespace lentilhead::batch::internal {

/// What a caller asks for besides the lines.
struct SubmissionOptions {
  std::string caller;
  std::string idempotency_key;
  const endpoint::ServiceSettings* service = nullptr;
  std::chrono::milliseconds deadline{0};
  LatePolicy late = LatePolicy::kRun;
};

/// One submission of a job while it is received.
///
/// The upload is listed first, so that an abandoned one is found and removed. Items are stored
/// segment by segment while the body arrives; the body is paused while the store is behind. The
/// answer is sent after the job's row is durable.
class Submission : public std::enable_shared_from_this<Submission> {
 public:
  /// @param guard released with the submission.
  Submission(ApiParts& parts, std::shared_ptr<framework::HttpExchange> exchange,
             SubmissionOptions options, std::shared_ptr<void> guard);
  Submission(const Submission&) = delete;
  Submission& operator=(const Submission&) = delete;
  ~Submission();

  void Start();

 private:
  void OnChunk(std::string_view bytes);
  void OnBodyEnd();
  void StoreFullSegments();
  void StoreSegment(std::size_t count);
  void PutNext();
  void OnPut(bool stored);
  void FinishIfStored();
  void RefuseInvalidLines();
  void InsertRow();
  [[nodiscard]] JobRecord BuildRecord() const;
  void OnInserted(bool stored, datastore::TableErrorKind error);
  void AnswerExisting();
  void RemoveUpload();
  void RemoveEntry();
  void Accept(const JobRecord& record, int status);

  ApiParts& parts;
  std::shared_ptr<framework::HttpExchange> exchange;
  SubmissionOptions options;
  std::shared_ptr<void> guard;
  std::string job;
  OpenEntry entry;
  LineChecker checker;
  GChecksum* checksum;
  std::string digest;
  std::vector<std::string> lines;
  std::deque<std::string> waiting_segments;  ///< Segments that are not yet being stored.
  std::size_t segments = 0;                  ///< Segments handed to the store.
  std::size_t puts_in_flight = 0;
  bool entry_stored = false;
  bool body_ended = false;
  bool failed = false;
  bool ended = false;
  framework::MonotonicTime started;
};

}  // namespace lentilhead::batch::internal
