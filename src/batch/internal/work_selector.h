#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "batch/types/job_offer.h"
#include "framework/types/time_types.h"

namespace lentilhead::batch::internal {

/// Number of items of one job to request from its owner.
struct WorkRequest {
  std::string job;
  std::string owner;
  std::size_t count = 0;
};

/// Selects items from the offers of all job owners, by deficit round robin between callers and
/// least laxity first between the jobs of a caller.
class WorkSelector {
 public:
  /// @param offer_lifetime time after which an offer expires if it is not repeated.
  explicit WorkSelector(std::chrono::milliseconds offer_lifetime);

  /// Stores an offer. An offer with an older epoch than the stored one is ignored.
  void OnOffer(const std::string& owner, const JobOffer& offer, framework::MonotonicTime now);

  /// Removes the offer of a job that `owner` no longer owns.
  void OnWithdrawn(const std::string& owner, const std::string& job);

  /// Selects up to `count` items of a service.
  std::vector<WorkRequest> Select(const std::string& service, std::size_t count,
                                  framework::MonotonicTime now);

  /// Selects one item of a service that must run alone.
  std::optional<WorkRequest> SelectSolo(const std::string& service, framework::MonotonicTime now);

  /// Returns true if an item of a service that must run alone is offered.
  [[nodiscard]] bool HasSoloOffer(const std::string& service, framework::MonotonicTime now) const;

  /// Returns the owner of a job; empty if the job has no current offer.
  [[nodiscard]] std::string OwnerOf(const std::string& job, framework::MonotonicTime now) const;

 private:
  struct ReceivedOffer {
    std::string owner;
    JobOffer offer;
    framework::MonotonicTime received;
  };

  [[nodiscard]] bool IsCurrent(const ReceivedOffer& received_offer,
                               framework::MonotonicTime now) const;
  [[nodiscard]] std::chrono::milliseconds LaxityOf(const ReceivedOffer& received_offer,
                                                   framework::MonotonicTime now) const;
  ReceivedOffer* MostUrgent(const std::string& caller, const std::string& service,
                            std::size_t JobOffer::*pending, framework::MonotonicTime now);
  /// Returns the caller that is next in the round robin. Its deficit is at least one item.
  std::string NextCaller(const std::vector<std::string>& callers);
  std::vector<std::string> CallersWithOffers(const std::string& service,
                                             framework::MonotonicTime now);

  std::chrono::milliseconds offer_lifetime;
  std::map<std::string, ReceivedOffer> offers;
  std::map<std::string, std::size_t> deficits;
  std::string last_caller;
};

}  // namespace lentilhead::batch::internal
