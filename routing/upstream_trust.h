// How far each upstream's recent answers speak against sending it new work.
//
//   upstream_trust Trust;
//   Trust.onUnreachable(Upstream, Now);
//   Trust.onAnswer(Upstream, Failed, Now);
//   if (Trust.isPaused(Upstream, Now)) ... // others first
//
// An upstream that can't be reached, or that falls silent, is paused at once.
// The pause doubles with each further failure and ends with an answer. An
// upstream that answers but fails is avoided in proportion to its failures.
//
// Load pattern of rests: an overloaded upstream turns requests away and says
// for how long. More requests would only prolong the overload.
//
// Load pattern of the zones' part: a zone is cut off. Each of its upstreams
// would be found out by a timeout of its own. When two of them can't be reached
// within `zone_doubt_window`, and none has answered meanwhile, all of them are
// paused.

#ifndef ROUTING_UPSTREAM_TRUST_H
#define ROUTING_UPSTREAM_TRUST_H

#include <optional>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// Longer than a lost packet's repeat, short against the life of a listing.
constexpr duration first_trust_pause = std::chrono::milliseconds(400);
// A listing ends about three reporting intervals after its upstream's death,
// so longer pauses gain nothing.
constexpr duration longest_trust_pause = std::chrono::seconds(3);

// Two failures so close together have one cause.
constexpr duration zone_doubt_window = std::chrono::seconds(1);
// Then a few requests find out whether the zone is back.
constexpr duration zone_pause = std::chrono::milliseconds(1500);

class upstream_trust {
public:
  // No connection was made, or one broke with a request on it.
  void onUnreachable(const upstream_name &Upstream, const zone_name &Zone,
                     steady_time Now);
  // It answered; Failed: with a failure of its own.
  void onAnswer(const upstream_name &Upstream, const zone_name &Zone,
                bool Failed, steady_time Now);
  // It turned a request away because it is full.
  void onFull(const upstream_name &Upstream, steady_time Now);
  // It turned a request away and wants no other one before Until.
  void onAskedToRest(const upstream_name &Upstream, steady_time Until);

  bool isPaused(const upstream_name &Upstream, const zone_name &Zone,
                steady_time Now) const;
  // When it may get requests again, if it asked for a rest that is not over.
  // Unlike a pause, a rest is kept even if no other upstream is left.
  std::optional<steady_time> restingUntil(const upstream_name &Upstream,
                                          steady_time Now) const;
  // Part of the recent answers that failed, 0 to 1.
  double failureShare(const upstream_name &Upstream, steady_time Now) const;
  void onTick(steady_time Now);
  void forget(const upstream_name &Upstream) { States.erase(Upstream); }

private:
  struct state {
    duration Pause = first_trust_pause;
    steady_time PausedUntil = steady_time::min();
    double Failures = 0;
    steady_time FailedAt = steady_time::min();
  };

  struct zone_state {
    upstream_name LastUnreachable;
    steady_time UnreachableAt;
    steady_time PausedUntil;
  };
  void doubtZone(const upstream_name &Upstream, const zone_name &Zone,
                 steady_time Now);

  absl::flat_hash_map<upstream_name, state> States;
  // Kept over a restart of the upstream: who asked may still be overloaded.
  absl::flat_hash_map<upstream_name, steady_time> Rests;
  absl::flat_hash_map<zone_name, zone_state> Zones;
};

} // namespace monsoonreel

#endif // ROUTING_UPSTREAM_TRUST_H
