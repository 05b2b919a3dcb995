#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "batch/types/job_offer.h"
#include "framework/types/time_types.h"

namespace lentilhead::batch::internal {

/// Items of one job to ask its owner for.
struct WorkRequest {
  std::string job;
  std::string owner;
  std::size_t count = 0;
};

/// Chooses among the offers of all job owners: deficit round robin between callers, least laxity
/// first between the jobs of a caller.
class WorkSelector {
 public:
  /// @param offer_lifetime how long an offer holds without being repeated.
  explicit WorkSelector(std::chrono::milliseconds offer_lifetime);

  /// Takes an offer; one of an older epoch than the last is ignored.
  void OnOffer(const std::string& owner, const JobOffer& offer, framework::MonotonicTime now);

  /// The owner has said that it does not own a job any more.
  void OnWithdrawn(const std::string& owner, const std::string& job);

  /// Chooses up to `count` items of a service.
  std::vector<WorkRequest> Select(const std::string& service, std::size_t count,
                                  framework::MonotonicTime now);

  /// Chooses one item of a service that must run alone.
  std::optional<WorkRequest> SelectSolo(const std::string& service, framework::MonotonicTime now);

  /// True if an item of a service that must run alone is on offer.
  [[nodiscard]] bool HasSoloOffer(const std::string& service, framework::MonotonicTime now) const;

  /// Returns the owner of a job; empty if none has offered it lately.
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
  /// Returns the caller whose turn it is; it has a deficit of at least one item.
  std::string NextCaller(const std::vector<std::string>& callers);
  std::vector<std::string> CallersWithOffers(const std::string& service,
                                             framework::MonotonicTime now);

  std::chrono::milliseconds offer_lifetime;
  std::map<std::string, ReceivedOffer> offers;
  std::map<std::string, std::size_t> deficits;
  std::string last_caller;
};

}  // namespace lentilhead::batch::internal
