// Switches that disable a safety mechanism, for tests only.
//
//   if (isEnabled(mechanism::LeaseMargin))
//     Wait += drift_margin;
//
// A test that disables a mechanism must observe a failure. Otherwise nothing
// shows that the mechanism is needed or that the tests cover it. Daemons never
// disable a mechanism.

#ifndef MONSOONREEL_MECHANISM_H
#define MONSOONREEL_MECHANISM_H

#include <cstddef>

namespace monsoonreel {

enum class mechanism {
  ClaimBeforeDispatch,   // the key is claimed in the log before dispatch
  ClaimReadBack,         // a claim counts only once it is read back
  LeaseMargin,           // a successor waits for the drift margin
  LeaseCheckBeforeWrite, // the holder checks its lease right before a write
  Fencing,               // records with an old fencing number are void
  VersionCheck,          // an edit carries the version that it replaces
  OffsetOnlyGrows,       // a replica never goes back to an older state
  WriterSequence,        // a record that is appended twice counts once
  UsageSequence,         // a usage batch that is received twice counts once
  UsageHold,             // a batch is held at a second VM until it is logged
  RetryOnlyIdempotent,   // a non-idempotent request is never retried
  TierOrder,             // shedding takes the lowest tier first
  MinimumShare,          // every class gets its minimum share of grants
  DrainWaits,            // a draining process finishes running requests
  LeavingStopsGrants,    // a leaving upstream gets no new work
  WithdrawalCancels,     // running requests of a withdrawn key are cancelled
  AttemptFilter,         // late events of a cancelled attempt are dropped
  ClaimGiveUp,           // an abandoned attempt is never dispatched
  ClaimReleaseVoids,     // a released attempt can't win its key again
  ClaimHorizon,          // a key older than the horizon can't be claimed
  ClaimTimeVouched,      // a single writer's clock can't expire keys
  SuspicionBeforeDeath,  // an unresponsive member can refute its suspicion
  IndirectProbe,         // other members probe before one is suspected
  SilentLinkReset,       // an unresponsive connection is replaced
  ReconnectProbe,        // dead members are probed periodically
  EagerPush,             // new records are pushed to peers at once
  FreshnessNeedsOffset,  // freshness counts once the offset is applied
  KeyTrustExpires,       // a partitioned node stops accepting its keys
  OrganisationFairness,  // organisations share a queue by weight
  Preemption,            // a slot is reclaimed for a higher tier
  Admission,             // requests that can't be served in time are refused
  UpstreamEjection,      // a failing or slow upstream is taken out of use
  SlotExpiry,            // slots of dead requesters are freed
  StaleGrantRelease,     // a grant that no request waits for is returned
  DifferenceHash,        // a difference is checked against its result's hash
};

// The number of mechanisms. It is derived from the last enumerator.
constexpr size_t mechanism_count =
    static_cast<size_t>(mechanism::DifferenceHash) + 1;

bool isEnabled(mechanism Mechanism);

// Disables a mechanism during this object's lifetime. For tests only.
class disabled_mechanism {
public:
  explicit disabled_mechanism(mechanism Mechanism);
  ~disabled_mechanism();
  disabled_mechanism(const disabled_mechanism &) = delete;
  disabled_mechanism &operator=(const disabled_mechanism &) = delete;

private:
  mechanism Mechanism;
};

} // namespace monsoonreel

#endif // MONSOONREEL_MECHANISM_H
