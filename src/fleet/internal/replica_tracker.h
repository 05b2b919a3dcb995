#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>

#include "fleet/internal/replica_effect.h"
#include "fleet/internal/replica_revisions.h"
#include "framework/types/time_types.h"

namespace lentilhead::fleet::internal {

/// Parameters of the replication of one document.
struct ReplicaParameters {
  std::chrono::milliseconds poll_period{500};  ///< Between store reads of a polling instance.
  /// Time since the store's revision was last learned after which every instance polls the store,
  /// once each `fallback_period`.
  std::chrono::milliseconds fallback_age{5'000};
  std::chrono::milliseconds fallback_period{5'000};
};

/// Replicates one revisioned document from the store to every instance.
///
/// A few instances poll the store. The others receive a higher revision number in their peers'
/// heartbeats and fetch the document from a peer that has it, or from the store. The revision held
/// here never decreases. The class is a state machine: the caller passes in all messages and times
/// and executes the effects that it returns.
class ReplicaTracker {
 public:
  ReplicaTracker(ReplicaParameters parameters, std::uint64_t seed);

  /// Runs one tick. @param polls true if this instance is one of those that poll the store.
  ReplicaEffects OnTick(bool polls, framework::MonotonicTime now);

  /// Handles the revision that a peer reported. @param address address of the peer.
  /// @param sent_after earliest time at which the peer can have sent the report.
  ReplicaEffects OnPeerRevision(const std::string& address, const ReplicaRevision& reported,
                                framework::MonotonicTime sent_after);

  /// Handles an answer to ReadStore.
  ReplicaEffects OnStoreRevision(std::uint64_t revision);

  /// Handles a failed ReadStore.
  void OnStoreFailed();

  /// Handles a document that this instance has fetched, or that was submitted at this instance.
  void OnDocumentReceived(std::uint64_t revision, framework::MonotonicTime now);

  /// Handles the end of a fetch. @return next fetch if the document is still missing and another
  /// source has it.
  ReplicaEffects OnFetchEnded();

  [[nodiscard]] std::uint64_t HeldRevision() const { return this->held_revision; }

  /// Returns the revision to report in heartbeats.
  [[nodiscard]] ReplicaRevision Report(framework::MonotonicTime now) const;

  /// Returns the time since the store or a peer confirmed the held revision; no value if neither
  /// did.
  [[nodiscard]] std::optional<std::chrono::milliseconds> ConfirmationAge(
      framework::MonotonicTime now) const;

 private:
  struct Observation {
    std::uint64_t revision = 0;
    framework::MonotonicTime at;
  };

  void Observe(std::uint64_t revision, framework::MonotonicTime at);
  ReplicaEffects StartFetch();

  ReplicaParameters parameters;
  std::mt19937_64 random;
  std::uint64_t held_revision = 0;
  std::uint64_t wanted_revision = 0;
  std::deque<std::string> holders;  ///< Peers left to fetch the wanted revision from.
  bool store_has_wanted_revision = false;
  bool fetch_in_flight = false;
  bool store_read_in_flight = false;
  framework::MonotonicTime store_read_started_at;
  std::optional<framework::MonotonicTime> next_store_read_at;
  std::optional<Observation> latest_observation;  ///< Latest known revision of the store.
  std::optional<framework::MonotonicTime> store_confirmed_at;
  std::optional<framework::MonotonicTime> peer_confirmed_at;
};

}  // namespace lentilhead::fleet::internal
