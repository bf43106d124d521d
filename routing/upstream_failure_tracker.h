// Tracks failures of upstreams and decides which ones to avoid.
//
//   upstream_failure_tracker FailureTracker;
//   FailureTracker.onUnreachable(Upstream, Zone, Now);
//   FailureTracker.onAnswer(Upstream, Zone, Failed, Now);
//   if (FailureTracker.isPaused(Upstream, Zone, Now)) ... // try others
//
// An upstream that cannot be reached, or that stops responding, is paused at
// once. The pause doubles with each further failure and ends with an answer
// that is not a failure. An upstream that answers with failures is avoided in
// proportion to their share.
//
// Load pattern for back-off: an overloaded upstream rejects requests and says
// for how long. Further requests would only prolong the overload.
//
// Load pattern for pauses of zones: a zone is cut off, and a separate timeout
// would be needed to detect it for each of its upstreams. When two of them
// cannot be reached within `zone_failure_window`, and none has answered in
// between, all of them are paused.

#ifndef ROUTING_UPSTREAM_FAILURE_TRACKER_H
#define ROUTING_UPSTREAM_FAILURE_TRACKER_H

#include <optional>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// Longer than the retransmission of a lost packet, and short compared to the
// time for which an upstream is listed.
constexpr duration first_failure_pause = std::chrono::milliseconds(400);
// The entry of a failed upstream lapses about three reporting intervals after
// its failure, so longer pauses have no benefit.
constexpr duration max_failure_pause = std::chrono::seconds(3);

// Failures of two upstreams within this time have one common cause.
constexpr duration zone_failure_window = std::chrono::seconds(1);
// After this pause a few requests test whether the zone is reachable again.
constexpr duration zone_pause = std::chrono::milliseconds(1500);

class upstream_failure_tracker {
public:
  // Handles a failed connection, or one that broke during a request.
  void onUnreachable(const upstream_name &Upstream, const zone_name &Zone,
                     steady_time Now);
  // Handles an answer. Failed: the answer reports a failure of the upstream.
  void onAnswer(const upstream_name &Upstream, const zone_name &Zone,
                bool Failed, steady_time Now);
  // Handles a rejection because the upstream is full.
  void onFull(const upstream_name &Upstream, steady_time Now);
  // Handles a rejection with a request to send nothing before Until.
  void onBackoffRequested(const upstream_name &Upstream, steady_time Until);

  bool isPaused(const upstream_name &Upstream, const zone_name &Zone,
                steady_time Now) const;
  // Returns when the upstream may get requests again, if it asked for back-off
  // that is not over. Unlike a pause, back-off is observed even if no other
  // upstream is left.
  std::optional<steady_time> backoffUntil(const upstream_name &Upstream,
                                          steady_time Now) const;
  // Returns whether the upstream was full at Since or later, as far as is
  // known.
  bool wasFullSince(const upstream_name &Upstream, steady_time Since) const;
  // Share of recent answers that were failures, 0 to 1.
  double failureShare(const upstream_name &Upstream, steady_time Now) const;
  void onTick(steady_time Now);
  void forget(const upstream_name &Upstream) { States.erase(Upstream); }

private:
  struct state {
    duration Pause = first_failure_pause;
    steady_time PausedUntil = steady_time::min();
    double Failures = 0;
    steady_time FailedAt = steady_time::min();
    steady_time FullAt = steady_time::min();
  };

  struct zone_state {
    upstream_name LastUnreachable;
    steady_time UnreachableAt;
    steady_time PausedUntil;
  };
  void recordZoneFailure(const upstream_name &Upstream, const zone_name &Zone,
                         steady_time Now);

  absl::flat_hash_map<upstream_name, state> States;
  // Kept when the upstream restarts, because it may still be overloaded.
  absl::flat_hash_map<upstream_name, steady_time> Backoffs;
  absl::flat_hash_map<zone_name, zone_state> Zones;
};

} // namespace monsoonreel

#endif // ROUTING_UPSTREAM_FAILURE_TRACKER_H
