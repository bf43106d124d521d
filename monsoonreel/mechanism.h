// Switches that take a safety mechanism away, for tests only.
//
//   if (isEnabled(mechanism::LeaseMargin))
//     Wait += drift_margin;
//
// A test that disables a mechanism has to see a failure; otherwise nothing
// shows that the mechanism is needed or that the tests watch it. Daemons never
// disable one.

#ifndef MONSOONREEL_MECHANISM_H
#define MONSOONREEL_MECHANISM_H

#include <cstddef>

namespace monsoonreel {

enum class mechanism {
  ClaimBeforeDispatch,   // a keyed request is claimed in the log first
  ClaimReadBack,         // the claim is read back before it counts
  LeaseMargin,           // a successor waits out the drift margin
  LeaseCheckBeforeWrite, // the holder checks its lease right before a write
  Fencing,               // records of an old fencing number are void
  VersionCheck,          // an edit names the document that it replaces
  OffsetOnlyGrows,       // a replica never goes back to an older state
  WriterSequence,        // a record that is appended twice counts once
  UsageSequence,         // a usage batch that comes twice counts once
  UsageHold,             // a batch is held at a second VM until it is logged
  RetryOnlyIdempotent,   // a non-idempotent request is never sent again
  TierOrder,             // shedding takes the lowest tier first
  MinimumShare,          // every class gets its share of grants
  DrainWaits,            // a draining process ends what it runs
  LeavingStopsGrants,    // a leaving upstream gets no new work
  WithdrawalCancels,     // running requests of a withdrawn key are cancelled
  AttemptFilter,         // late events of a cancelled attempt are dropped
  ClaimGiveUp,           // an attempt that was given up is never dispatched
  ClaimReleaseVoids,     // a released attempt can't win its key again
  ClaimHorizon,          // a key from before the horizon can't be claimed
  ClaimTimeVouched,      // one writer's clock alone does not expire keys
  SuspicionBeforeDeath,  // a silent member has time to refute its death
  IndirectProbe,         // others are asked before a member is suspected
  SilentLinkReset,       // a silent connection is replaced by a new one
  ReconnectProbe,        // dead members are probed now and then
  EagerPush,             // new records are pushed to peers at once
  FreshnessNeedsOffset,  // freshness counts once the offset is applied
  KeyTrustExpires,       // a node that is cut off stops trusting its keys
  OrganisationFairness,  // organisations share a queue by weight
  Preemption,            // a slot is taken back for a higher tier
  Admission,             // what can't be served in time is refused at once
  UpstreamEjection,      // a failing or slow upstream loses its work
  SlotExpiry,            // slots of dead askers come free
  StaleGrantRelease,     // a grant that nobody waits for is given back
  DifferenceHash,        // a difference counts only for the result it names
};

// Of all mechanisms; the last one stands here.
constexpr size_t mechanism_count =
    static_cast<size_t>(mechanism::DifferenceHash) + 1;

bool isEnabled(mechanism Mechanism);

// Takes one mechanism away for its lifetime. For test files.
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
