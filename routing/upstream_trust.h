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

#ifndef ROUTING_UPSTREAM_TRUST_H
#define ROUTING_UPSTREAM_TRUST_H

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// Longer than a lost packet's repeat, short against the life of a listing.
constexpr duration first_trust_pause = std::chrono::milliseconds(400);
// A listing ends about three reporting intervals after its upstream's death,
// so longer pauses gain nothing.
constexpr duration longest_trust_pause = std::chrono::seconds(3);

class upstream_trust {
public:
  // No connection was made, or one broke with a request on it.
  void onUnreachable(const upstream_name &Upstream, steady_time Now);
  // It answered; Failed: with a failure of its own.
  void onAnswer(const upstream_name &Upstream, bool Failed, steady_time Now);
  // It turned a request away because it is full.
  void onFull(const upstream_name &Upstream, steady_time Now);

  bool isPaused(const upstream_name &Upstream, steady_time Now) const;
  // Part of the recent answers that failed, 0 to 1.
  double failureShare(const upstream_name &Upstream, steady_time Now) const;
  void forget(const upstream_name &Upstream) { States.erase(Upstream); }

private:
  struct state {
    duration Pause = first_trust_pause;
    steady_time PausedUntil = steady_time::min();
    double Failures = 0;
    steady_time FailedAt = steady_time::min();
  };

  absl::flat_hash_map<upstream_name, state> States;
};

} // namespace monsoonreel

#endif // ROUTING_UPSTREAM_TRUST_H
