#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gateway/gateway.h"
#include "gateway/internal/answer_stream.h"
#include "gateway/internal/work_meter.h"
#include "gateway/types/answer_end.h"
#include "gateway/types/attempt_stage.h"
#include "jobs/item_tracker.h"
#include "jobs/types/claim.h"

namespace lentilhead::jobs::internal {

/// How an attempt at an item ended.
enum class ItemRunOutcome {
  kComplete,          ///< the output is whole
  kResume,            ///< the next attempt resumes after the last event received
  kEndUnproven,       ///< as kResume; a successful answer ended, which does not prove the end
  kEndUnframed,       ///< as kResume; an answer without framing ended behind an event
  kEmptyUnframed,     ///< an answer without framing ended before any event
  kBeginAnew,         ///< the output received cannot be resumed; the next attempt begins anew
  kRunFailed,         ///< the endpoint reports that the run failed
  kPermanentFailure,  ///< the endpoint reports that the item can never be completed
  kOverLimit,         ///< the output is too large; the next attempt begins anew
  kOtherWeights,      ///< the endpoint does not have the weights that the item asks for
};

/// Name of an outcome in logs.
[[nodiscard]] std::string_view NameOf(ItemRunOutcome outcome);

/// What an attempt at an item ended with.
struct ItemRunReport {
  ItemRunOutcome outcome = ItemRunOutcome::kResume;
  gateway::AttemptStage stage = gateway::AttemptStage::kUnanswered;
  bool endpoint_ended = false;  ///< the endpoint ended before it sent an event of this attempt
  std::string end;              ///< what ended the attempt, in logs
  std::optional<gateway::AnswerEnd> answer_end;  ///< how its answer ended
};

/// Sends an item to an endpoint once and reads the answer into the item's progress.
class ItemRun {
 public:
  /// @param lease slot at the endpoint; must live as long as the object.
  /// @param cancel ends the attempt when cancelled.
  ItemRun(gateway::Gateway& gateway, ItemTracker& items, std::size_t item,
          const gateway::EndpointLease& lease, gateway::CancelScope& cancel)
      : gateway(gateway), items(items), item(item), lease(lease), cancel(cancel) {}

  /// @param host host of the job's route, as the caller sent it.
  net::asio::awaitable<ItemRunReport> Run(const Claim& claim);

  /// Names what the cost of an item is learned by.
  [[nodiscard]] static placement::CostQuery CostQueryOf(const Claim& claim, const ItemSpec& spec);

 private:
  net::asio::awaitable<ItemRunOutcome> Attempt(const Claim& claim);
  /// Reads the events of an answer, and finds out whether what they add can be resumed.
  net::asio::awaitable<ItemRunOutcome> ReadStream(gateway::internal::EndpointAttempt& attempt,
                                                  gateway::AnswerFraming framing,
                                                  gateway::internal::WorkMeter& work);
  net::asio::awaitable<ItemRunOutcome> ReadEvents(gateway::internal::AnswerStream stream,
                                                  gateway::internal::WorkMeter& work);
  /// Reads the body of an answer that reports an error, without keeping it.
  /// @return its state; BodyState::kOverLimit for one that is too long.
  static net::asio::awaitable<gateway::internal::BodyState> SkipErrorBody(
      gateway::internal::EndpointAttempt& attempt);
  net::asio::awaitable<ItemRunOutcome> ReadFailure(gateway::internal::EndpointAttempt& attempt,
                                                   const gateway::internal::AnswerHead& answer);
  void RecordFailure(bool unreachable);
  /// Records the loss of a connection. @param through peer that it led through, if there was one.
  /// @return whether the path rather than the endpoint may have failed.
  bool NotePathLoss(const std::optional<net::asio::ip::address>& through);

  gateway::Gateway& gateway;
  ItemTracker& items;
  std::size_t item;
  const gateway::EndpointLease& lease;
  gateway::CancelScope& cancel;
  gateway::AttemptStage stage = gateway::AttemptStage::kUnanswered;
  std::string end;                               ///< what ended the attempt
  std::optional<gateway::AnswerEnd> answer_end;  ///< how its answer ended
  bool is_connection_lost = false;
  bool is_path_suspected = false;  ///< the loss says nothing of the endpoint
};

}  // namespace lentilhead::jobs::internal
