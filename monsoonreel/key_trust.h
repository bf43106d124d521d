// How long a node that is cut off trusts the keys that it knows.
//
//   // A follower read the log's end and applied everything before it:
//   Members.freshness().onLogRead(Ledger.applied(), RequestedAt);
//   duration KeyTrust = keyTrustOf(Config.Limits, Idempotent);
//   if (!mayTrustKeys(KeyTrust, Members.freshness(), Now))
//     refuse("keys-stale");
//
// A withdrawn key stops working at a node when the withdrawal reaches it. A
// node that hears neither the log nor a peer that does can't know of one, so
// it stops trusting keys after a time: early for requests that must not
// repeat, late for others. The times are settings.
//
// Freshness is the time at which somebody read the log's end and found nothing
// beyond the records that this node has. It spreads with the answers to
// heartbeats as an age, and only counts once this node has applied the offset
// that the answer names. The age is counted from before the question was
// sent, so a delay on the way makes a node seem less fresh, never more.

#ifndef MONSOONREEL_KEY_TRUST_H
#define MONSOONREEL_KEY_TRUST_H

#include <cstddef>
#include <deque>
#include <optional>

#include "monsoonreel/configuration.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

constexpr size_t max_waiting_freshness = 16;

class log_freshness {
public:
  // This node read the log's end, and has applied everything before it, which
  // ends with Offset. RequestedAt is the time before the read was sent.
  void onLogRead(log_offset Offset, steady_time RequestedAt);

  // A peer that has applied Offset answered a question sent at AskedAt, and
  // its own freshness had this age.
  void onPeer(log_offset Offset, duration Age, steady_time AskedAt);

  // This node has applied everything up to Offset.
  void onApplied(log_offset Offset);

  // The offset that `age` is about.
  log_offset applied() const { return Applied; }

  // The time since the log was known to hold nothing newer; empty when it
  // never was.
  std::optional<duration> age(steady_time Now) const;

private:
  struct waiting_freshness {
    log_offset Offset;
    steady_time At;
  };

  log_offset Applied;
  std::optional<steady_time> FreshAt;
  // Told by peers, for offsets that this node has not applied yet; at most
  // max_waiting_freshness.
  std::deque<waiting_freshness> Waiting;
};

// For how long keys are trusted; Idempotent tells whether the request may be
// repeated.
duration keyTrustOf(const policy_limits &Limits, bool Idempotent);

// Whether a request may run with a key that this node knows. To be asked when
// it arrives and again when it is sent, which may be much later.
bool mayTrustKeys(duration KeyTrust, const log_freshness &Freshness,
                  steady_time Now);

} // namespace monsoonreel

#endif // MONSOONREEL_KEY_TRUST_H
