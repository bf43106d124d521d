// Takes part in one lease, as its holder or as a candidate.
//
//   lease_holder Lease(lease_terms{"usage"}, Self);
//   Lease.setWanted(true);
//   Lease.onLease(*Change.Lease, Now, Writer);       // after each change
//   Lease.onTick(Now, Random, Ready, Writer);
//   if (Lease.mayAct(Now, Flight))
//     Effects.push_back(send_order{Intent, Lease.notAfter(Flight)});
//
// A claim is a record of the log, and its offset is the fencing number. The
// clocks work out as follows, each on the steady clock of one machine:
//
//   The holder may act until `Duration` after it *first sent* its claim; it
//   counts only claims that it has read back.
//   Everybody else takes the lease as held until `Duration` + `Margin` after
//   *reading* the claim, which is later than its sending. A candidate claims
//   only then.
//   A new holder acts only after another `LongestFlight`, so that a write that
//   the old holder sent at its last moment has arrived before.
//
// A claim that lost the race is void by replay, so two candidates never both
// have a claim that counts. A renewal that is void leaves the holder with what
// its last valid claim gave it.
//
// One window stays open, where the receiver ignores fencing numbers: a process
// that is frozen after its last check of the clock and before the system call
// writes late. `notAfter` goes with the effect, so that the I/O layer checks
// right before it writes; what is left is the time between that check and the
// call.

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
  // For clocks that run at different rates: more than `Duration` times the
  // largest relative drift.
  duration Margin = std::chrono::seconds(1);
  // The longest time between a holder's write and its effect.
  duration LongestFlight = std::chrono::seconds(2);
};

// Candidates that see a lease lapse wait up to this long at random, so that
// few of them claim it at once.
constexpr duration claim_jitter = std::chrono::milliseconds(500);

class lease_holder {
public:
  lease_holder(lease_terms Terms, const node_identity &Self);

  // Whether this node wants the lease. One that no longer wants it lets it
  // lapse.
  void setWanted(bool Wanted);

  // The lease's current claim, whenever one was replayed or restored. To be
  // called before Writer is told of the record.
  void onLease(const wire::lease_state &Current, steady_time Now,
               const record_writer &Writer);

  // Claims and renews through Writer, which appends to the lease's stream.
  // Ready: the replay has reached the end of the log, so that the current
  // claim is known.
  void onTick(steady_time Now, uint64_t Random, bool Ready,
              record_writer &Writer);

  // Gives the lease up for good, so that a successor need not wait for its end.
  // Nothing may be done under it from now on; the record follows with a tick.
  void release();
  // Whether the release is read back, or there is nothing to release.
  bool isReleased() const { return !isMine() && !Pending; }

  // Whether a write that takes effect within Flight is covered. To be asked
  // right before every write, with a reading of the clock that was taken after
  // any pause.
  bool mayAct(steady_time Now, duration Flight) const;

  // The same as `mayAct`, for invariants: no mechanism switches it off.
  bool coversWrite(steady_time Now, duration Flight) const;

  // The last moment at which a write that takes Flight may begin.
  steady_time notAfter(duration Flight) const;

  // The fencing number while this node's claim is the current one.
  std::optional<log_offset> fence() const;

  // Whether a claim or renewal is under way. It changes the fencing number, so
  // a record that names the present one may become void.
  bool isClaiming() const { return Pending.has_value(); }

  const lease_terms &terms() const { return Terms; }

private:
  bool isMine() const;
  // Until when others take the current claim as held.
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
  // Until when this node's own current claim lets it act.
  steady_time ValidUntil = steady_time::min();
  // Before this the write of an earlier holder may still arrive.
  steady_time ActFrom = steady_time::min();

  std::optional<writer_ticket> Pending;
  std::optional<steady_time> ClaimAt;
};

} // namespace monsoonreel

#endif // MONSOONREEL_LEASE_HOLDER_H
