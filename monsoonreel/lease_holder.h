// Takes part in one lease, either as its holder or as a candidate.
//
//   lease_holder Lease(lease_terms{"usage"}, Self);
//   Lease.setWanted(true);
//   Lease.onLease(*Change.Lease, Now, Writer);       // after each change
//   Lease.onTick(Now, Random, Ready, Writer);
//   if (Lease.mayAct(Now, WriteLatency))
//     Effects.push_back(send_order{Intent, Lease.notAfter(WriteLatency)});
//
// A claim is a record in the log, and its offset is the fencing number. Each
// node measures time on its own steady clock:
//
//   The holder may act until `Duration` after it *first sent* its claim, and
//   only if it has read that claim back from the log.
//   Every other node regards the lease as held until `Duration` + `Margin`
//   after *reading* the claim, which is later than its sending. A candidate
//   claims the lease only after that time.
//   A new holder waits for a further `MaxWriteLatency` before it acts, so that
//   any write that the previous holder sent just before its lease expired has
//   arrived.
//
// Of several competing claims, the replay accepts the first and treats the
// others as void, so two candidates never both hold the lease. A void renewal
// does not change how long the holder's last valid claim lasts.
//
// One race remains if the receiver ignores fencing numbers: a process that is
// suspended after its last check of the clock and before the system call writes
// late. The effect carries `notAfter`, so that the I/O layer can check the
// clock immediately before it writes. Only the time between that check and the
// call is not covered.

#ifndef MONSOONREEL_LEASE_HOLDER_H
#define MONSOONREEL_LEASE_HOLDER_H

#include <optional>
#include <string>

#include "monsoonreel/effect.h"
#include "monsoonreel/node.h"
#include "monsoonreel/record_writer.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

struct lease_terms {
  std::string Name;
  duration Duration = std::chrono::seconds(10);
  // Allowance for clocks that run at different rates. Must exceed `Duration`
  // times the largest relative drift.
  duration Margin = std::chrono::seconds(1);
  // The longest time between a holder sending a write and the write taking
  // effect.
  duration MaxWriteLatency = std::chrono::seconds(2);
};

// After a lease expires, each candidate waits a random time up to this long, so
// that few of them claim the lease at once.
constexpr duration claim_jitter = std::chrono::milliseconds(500);

class lease_holder {
public:
  lease_holder(lease_terms Terms, const node_identity &Self);

  // Sets whether this node claims and renews the lease. If set to false, a
  // lease that this node holds expires without renewal.
  void setWanted(bool Wanted);

  // Takes the lease's current claim; call it whenever one is replayed or
  // restored. It has to be called before Writer's onReplayed or onRestored,
  // after which the time at which the claim was sent is no longer available.
  void onLease(const wire::lease_state &Current, steady_time Now,
               const record_writer &Writer);

  // Claims and renews through Writer, which appends to the lease's stream.
  // Ready is whether the replay has reached the end of the log, so that the
  // current claim is up to date.
  void onTick(steady_time Now, uint64_t Random, bool Ready,
              record_writer &Writer);

  // Releases the lease permanently, so that a successor need not wait for it to
  // expire. This node may not act under the lease from now on. A later tick
  // queues the release record.
  void release();
  // Whether the release has been read back, or there is no lease to release.
  bool isReleased() const { return !isMine() && !Pending; }

  // Whether the lease covers a write that takes effect within WriteLatency.
  // Check this immediately before every write, with a current reading of the
  // clock.
  bool mayAct(steady_time Now, duration WriteLatency) const;

  // The same as `mayAct`, for invariant checks: it applies even if the
  // mechanism LeaseCheckBeforeWrite is disabled.
  bool coversWrite(steady_time Now, duration WriteLatency) const;

  // The latest time at which a write that takes WriteLatency may start.
  steady_time notAfter(duration WriteLatency) const;

  // The fencing number while this node's claim is the current one.
  std::optional<log_offset> fence() const;

  // Whether a claim or renewal is in progress. It changes the fencing number,
  // so a record that carries the current number may become void.
  bool isClaiming() const { return Pending.has_value(); }

  const lease_terms &terms() const { return Terms; }

private:
  bool isMine() const;
  // The time until which other nodes regard the current claim as held.
  steady_time heldUntil() const;
  void waitOutPredecessor();
  bool isRenewalDue(steady_time Now) const;
  bool isClaimDue(steady_time Now, uint64_t Random);
  wire::log_record makeClaim(bool Released) const;

  lease_terms Terms;
  node_name Self;
  incarnation Incarnation;
  bool Wanted = false;
  bool Releasing = false;

  std::optional<wire::lease_state> Current;
  // When the current claim was read.
  steady_time ReadAt = steady_time::min();
  // The time until which this node's own current claim lets it act.
  steady_time ValidUntil = steady_time::min();
  // Before this time, a write of an earlier holder may still arrive.
  steady_time ActFrom = steady_time::min();

  std::optional<writer_ticket> Pending;
  std::optional<steady_time> ClaimAt;
};

} // namespace monsoonreel

#endif // MONSOONREEL_LEASE_HOLDER_H
