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

/// Options of a submission, besides its lines.
struct SubmissionOptions {
  std::string caller;
  std::string idempotency_key;
  const endpoint::ServiceSettings* service = nullptr;
  std::chrono::milliseconds deadline{0};  ///< Counted from the creation of the upload entry.
  LatePolicy late = LatePolicy::kRun;
};

/// Receives and stores one submission of a job.
///
/// The upload is first recorded in the open partition, so that it can be found and removed if it is
/// abandoned. Items are stored in segments while the body arrives; reading the body pauses while
/// too many segments wait to be stored. The response is sent after the job's row is durable.
class Submission : public std::enable_shared_from_this<Submission> {
 public:
  /// @param guard released when the submission is destroyed.
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
  std::deque<std::string> waiting_segments;  ///< Segments whose storage has not started.
  std::size_t segments = 0;                  ///< Number of segments whose storage has started.
  std::size_t puts_in_flight = 0;
  bool entry_stored = false;
  bool body_ended = false;
  bool failed = false;
  bool ended = false;
  framework::MonotonicTime started;
};

}  // namespace lentilhead::batch::internal
