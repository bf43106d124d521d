// Limits how long a partitioned node accepts keys from its replicated state.
//
//   // A follower read up to the log's end and applied all records:
//   Members.freshness().onLogRead(Ledger.applied(), RequestedAt);
//   duration KeyTrust = keyTrustOf(Config.Limits, Idempotent);
//   if (!mayTrustKeys(KeyTrust, Members.freshness(), Now))
//     refuse("keys-stale");
//
// A withdrawn key stops working at a node when the withdrawal record reaches
// the node. A node that can reach neither the log nor a peer that reads it does
// not receive withdrawals, so it stops accepting keys after a configured time.
// That time can be set shorter for requests that are not idempotent.
//
// Freshness is the latest time at which some node read up to the log's end and
// found no records beyond those that this node has. Peers report it as an age
// in their answers to heartbeats. It counts only once this node has applied the
// offset in the answer. The age is measured from before the heartbeat was sent,
// so a network delay can make a node appear less fresh, but never more.

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
  // This node read up to the log's end and has applied all records up to and
  // including Offset, the last one. RequestedAt is a time before the read was
  // sent.
  void onLogRead(log_offset Offset, steady_time RequestedAt);

  // A peer that has applied Offset answered a heartbeat that was sent at
  // AskedAt. Age is the age of the peer's own freshness.
  void onPeer(log_offset Offset, duration Age, steady_time AskedAt);

  // This node has applied all records up to and including Offset.
  void onApplied(log_offset Offset);

  // The highest offset that this node has applied; `age` refers to it.
  log_offset applied() const { return Applied; }

  // The time since this node's state was last known to include the whole log;
  // empty if that has never been known.
  std::optional<duration> age(steady_time Now) const;

private:
  struct waiting_freshness {
    log_offset Offset;
    steady_time At;
  };

  log_offset Applied;
  std::optional<steady_time> FreshAt;
  // Reported by peers for offsets that this node has not applied yet; at most
  // max_waiting_freshness entries.
  std::deque<waiting_freshness> Waiting;
};

// How stale the key state may be for a request. Idempotent is whether the
// request may be repeated.
duration keyTrustOf(const policy_limits &Limits, bool Idempotent);

// Whether a request may run with a key from this node's state. Check this when
// the request arrives and again before it is dispatched, which may be much
// later.
bool mayTrustKeys(duration KeyTrust, const log_freshness &Freshness,
                  steady_time Now);

} // namespace monsoonreel

#endif // MONSOONREEL_KEY_TRUST_H
