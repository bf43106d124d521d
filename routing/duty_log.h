// Which entry carries out the duties, and the usage figures that are fixed.
//
//   duty_log Duties(Terms, Self);
//   Duties.onTick(Now, Random, Effects);
//   if (Duties.mayAct(Now)) ... Duties.fence(), Duties.notAfter() ...
//   Duties.fixFigures(Sum);                 // written before they are reported
//   const wire::window_counts *F = Duties.figures(Window);
//
// One log of the platform's store holds claims and figures. Each append names
// the offset at which the log must end, so of two appends at one offset one has
// no effect, and a writer that missed a record learns so. An append without an
// answer is settled by reading on and appending again: either it is found, or
// the next append takes its place.
//
// Times are as in `lease_holder`, on boot time:
//
//   The holder acts until `Duration` after it sent its newest claim that
//   counts. Others take the claim as held until `Duration` + `Margin` after
//   they learn of it, from the log or from a peer, which is later than its
//   sending. A new holder acts only after another `Flight`, so that a call that
//   the old one sent at its last moment has arrived before; after `Handover` if
//   the old one gave the lease up.
//
// The offset of a holder's first claim is its fence. It stays the same while
// the holder renews, and a later holder's is higher.
//
// Others do not read the log while peers tell of renewals.

#ifndef ROUTING_DUTY_LOG_H
#define ROUTING_DUTY_LOG_H

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "routing/routing_effect.h"
#include "routing/routing_event.h"

namespace monsoonreel {

struct duty_terms {
  // A successor is in charge Duration + Margin + Flight after a holder's death,
  // which has to fit into the time within which a usage report is due.
  duration Duration = std::chrono::milliseconds(4000);
  duration Margin = std::chrono::milliseconds(400);
  // The longest time from the check of the clock to a call's effect.
  duration Flight = std::chrono::milliseconds(1000);
  // A successor of a holder that gave the lease up waits for so long, so that
  // the lease can't go there and back within it.
  duration Handover = std::chrono::milliseconds(3200);
  // Figures of so many windows are kept: of more than are reported.
  size_t KeptFigures = 24;
};

// A call to the store that is not answered for so long is taken as lost.
constexpr duration duty_call_timeout = std::chrono::milliseconds(1200);
// After a failed call, so that an outage is not met with a flood of calls.
constexpr duration duty_retry_period = std::chrono::milliseconds(400);
// Candidates wait up to this long at random, so that few claim at once.
constexpr duration duty_claim_jitter = std::chrono::milliseconds(600);
// The same for each candidate where they are many: the first one claims as
// soon, and the others hear of it before they read the log.
constexpr duration duty_claim_share = std::chrono::milliseconds(75);
// At its start an entry does not know how many there are.
constexpr duration first_claim_jitter = std::chrono::seconds(3);
// What is known of the current claim.
struct duty_claim_view {
  std::string Holder; // empty: none
  int64_t Incarnation = 0;
  int64_t Fence = 0;
  int64_t Offset = -1;
  bool Released = false;
};

class duty_log {
public:
  duty_log(duty_terms Terms, const node_identity &Self);

  void onTick(steady_time Now, uint64_t Random, routing_effects &Effects);
  void onAppended(const duty_appended &Appended, steady_time Now,
                  routing_effects &Effects);
  void onRead(const duty_log_read &Read, steady_time Now,
              routing_effects &Effects);
  // A peer knows of this claim.
  void onPeerClaim(const duty_claim_view &Heard, steady_time Now);

  // How many entries may claim, this one included.
  void setCandidates(size_t Count) { Candidates = Count; }

  // Writes figures once; ignored when the window has some or this entry may not
  // act.
  void fixFigures(const wire::window_counts &Sum);
  const wire::window_counts *figures(int64_t Window) const;
  int64_t lastFiguredWindow() const;

  // Whether a call that is made now is covered by the lease.
  bool mayAct(steady_time Now) const;
  steady_time notAfter() const { return ValidUntil - Terms.Flight; }
  int64_t fence() const { return Claim.Fence; }
  const duty_claim_view &claim() const { return Claim; }
  bool isMine() const;
  // Gives the lease up; a successor need not wait for its end.
  void release() { Releasing = true; }
  bool isReleased() const { return !isMine(); }
  // Changes with every new holder that this entry learns of.
  const std::string &holder() const { return Claim.Holder; }

private:
  void take(const wire::duty_record &Record, int64_t Offset, steady_time Now,
            bool OwnAnswer);
  void takeClaim(const wire::duty_claim &Heard, int64_t Offset, steady_time Now,
                 bool OwnAnswer);
  void takeFigures(const wire::window_counts &Heard);
  bool isClaimDue(steady_time Now, uint64_t Random);
  bool isRenewalDue(steady_time Now) const;
  void append(wire::duty_record Record, steady_time Now,
              routing_effects &Effects);
  void read(steady_time Now, routing_effects &Effects);
  wire::duty_record makeClaim() const;
  void onCallFailed(steady_time Now);

  duration claimJitter() const;

  duty_terms Terms;
  size_t Candidates = 1;
  std::string Self;
  int64_t Incarnation;
  bool Releasing = false;

  bool Known = false; // the log was read to its end once
  int64_t End = 0;
  duty_claim_view Claim;
  steady_time HeldUntil; // as others have to assume
  // Until when this entry's own claim lets it act. The clock's zero, which is
  // long past, stands for "not at all".
  steady_time ValidUntil;
  steady_time ActFrom;

  std::map<int64_t, wire::window_counts> Figures;
  std::deque<wire::window_counts> ToFix;

  enum class call { None, Append, Read };
  call Open = call::None;
  // Of the open call; answers to earlier ones come too late to be used.
  call_id OpenId;
  steady_time CalledAt;
  wire::duty_record Appending;
  bool MustRead = true;
  steady_time NextCall = steady_time::min();
  std::optional<steady_time> ClaimAt;
};

} // namespace monsoonreel

#endif // ROUTING_DUTY_LOG_H
