// Elects the entry that performs the duties (reporting usage and ordering
// upstreams) and stores the usage figures that are final.
//
//   duty_log Duties(Terms, Self);
//   Duties.onTick(Now, Random, Effects);
//   if (Duties.mayAct(Now)) ... Duties.fence(), Duties.notAfter() ...
//   Duties.queueFigures(Sum);                 // append before reporting them
//   const wire::window_counts *F = Duties.figures(Window);
//
// Claims and figures are records of one log in the platform's store. Each
// append is conditional on the offset at which the log ends, so only one of two
// appends at the same offset succeeds, and a writer that missed a record gets a
// conflict. After an append without an answer the log is read and the append is
// repeated: either the read finds the record, or the repeated append takes its
// offset.
//
// The lease times are as in `lease_holder` and are measured on boot time:
//
//   The holder acts until `Duration` after it sent its newest accepted claim.
//   The other entries treat the lease as held until `Duration` + `Margin` after
//   they learn of the claim from the log or from a peer, which is later than
//   the time at which it was sent. A new holder waits for another `Flight`
//   before it acts, so that the last call of the previous holder has arrived by
//   then, or for `Handover` if the previous holder released the lease.
//
// A holder's fencing token is the position of its first claim as one number. It
// stays the same while the holder renews, and a later holder has a higher one.
//
// A store that was restored from a backup has lost claims and figures, and
// gives their offsets out again. When an entry learns of the new era it stops
// acting and reads the log again from its start:
//
//   Duties.onEra(Era, Now, Effects);
//
// Only claims that were made for the current era let their holder act. An entry
// whose lease was valid until then claims at once, because no other entry can
// have claimed after it. The others wait as after a claim. The new holder
// writes figures again that it or a peer remembers and the log has lost, see
// `figure_copies`.
//
// The other entries do not read the log while peers report renewals.
//
// The store deletes old records, so a read may reveal a gap. Records in a gap
// are unknown, and other entries may have claimed the lease in them. A claim
// before a gap therefore no longer counts, not even for its own holder: unless
// there is a claim behind the gap, the entry waits as after a claim.

#ifndef ROUTING_DUTY_LOG_H
#define ROUTING_DUTY_LOG_H

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/routing_effect.h"
#include "routing/routing_event.h"
#include "routing/store_position.h"

namespace monsoonreel {

struct duty_terms {
  // A successor holds the lease Duration + Margin + Flight after the previous
  // holder has failed. This sum has to fit into the time within which a usage
  // report is due.
  duration Duration = std::chrono::milliseconds(4000);
  duration Margin = std::chrono::milliseconds(400);
  // Longest time from the check of the clock until a call takes effect.
  duration Flight = std::chrono::milliseconds(1000);
  // Time that a successor waits after the previous holder has released the
  // lease. It prevents the lease from moving to another entry and back within
  // this time.
  duration Handover = std::chrono::milliseconds(3200);
  // Number of windows whose figures are kept. It exceeds the number of windows
  // that are reported.
  size_t KeptFigures = 24;
};

// A call to the store without an answer times out after this time.
constexpr duration duty_call_timeout = std::chrono::milliseconds(1200);
// Delay after a failed call, so that an outage does not cause a flood of calls.
constexpr duration duty_retry_period = std::chrono::milliseconds(400);
// Candidates wait for a random time up to this limit, so that few of them claim
// at once.
constexpr duration duty_claim_jitter = std::chrono::milliseconds(600);
// Jitter per candidate where there are many candidates. The expected time of
// the first claim stays the same, and the other candidates learn of the claim
// before they read the log.
constexpr duration duty_claim_jitter_per_entry = std::chrono::milliseconds(75);
// Minimum jitter of the first claim, because an entry does not know the number
// of candidates when it starts.
constexpr duration first_claim_jitter = std::chrono::seconds(3);
// The newest known claim.
struct duty_claim_view {
  std::string Holder; // empty: none
  int64_t Incarnation = 0;
  int64_t Fence = 0;
  store_position At{0, -1};
  bool Released = false;
  int64_t MadeInEra = 0; // era that the holder knew when it claimed; 0: unknown

  // Returns whether the claim was made before the store was restored.
  bool isOutdated() const { return MadeInEra != 0 && MadeInEra < At.Era; }
};

class duty_log {
public:
  duty_log(duty_terms Terms, const node_identity &Self);

  void onTick(steady_time Now, uint64_t Random, routing_effects &Effects);
  void onAppended(const duty_appended &Appended, steady_time Now,
                  routing_effects &Effects);
  void onRead(const duty_log_read &Read, steady_time Now,
              routing_effects &Effects);
  // Handles a claim that a peer reported.
  void onPeerClaim(duty_claim_view Received, steady_time Now);
  // Handles the store's era, as stated by the store or by a peer. Has to be
  // called before the answer or claim that states the era is handled.
  void onEra(int64_t Era, steady_time Now, routing_effects &Effects);
  const store_position &end() const { return End; }

  // Sets how many entries may claim, including this one.
  void setCandidates(size_t Count) { Candidates = Count; }

  // Queues figures to be appended to the log. They are ignored when the window
  // has figures already, or had some that nobody knows any more, and dropped
  // when another entry claims the lease.
  void queueFigures(const wire::window_counts &Sum);
  const wire::window_counts *figures(int64_t Window) const;
  // Remembers figures that a peer knows, unless others are known. Returns those
  // that were not known.
  std::vector<wire::window_counts>
  rememberFigures(const std::vector<wire::window_counts> &Reported);
  // Remembers figures that the holder has written, in place of others.
  void keepFigures(const std::vector<wire::window_counts> &Written);
  // Figures that are in the log, by window.
  const std::map<int64_t, wire::window_counts> &writtenFigures() const {
    return Figures;
  }
  // Returns the remembered figures from this window on that have not been found
  // in the log.
  std::vector<wire::window_counts> lostFigures(int64_t First) const;
  // Returns all known figures from this window on: those in the log and those
  // that peers may need to write them again.
  std::vector<wire::window_counts> knownFigures(int64_t First) const;
  int64_t lastFiguredWindow() const;
  // Returns whether figures of a window are in the log, or are remembered.
  bool hasFigures(int64_t Window) const;
  // Returns whether figures of a window that ended at EndedAt would have been
  // read, if they were written in the current era. They may be among records
  // that were deleted.
  bool wouldHaveRead(int64_t Window, steady_time EndedAt) const;
  // Returns since when the store is known to be in the current era. Figures of
  // windows that ended later cannot have been lost by a restore.
  steady_time eraKnownSince() const { return History.EraSince; }

  // Returns whether the lease covers a call that is made now.
  bool mayAct(steady_time Now) const;
  steady_time notAfter() const { return ValidUntil - Terms.Flight; }
  int64_t fence() const { return Claim.Fence; }
  // The highest fencing token of all known claims; -1: none.
  int64_t highestFence() const { return HighestFence; }
  const duty_claim_view &claim() const { return Claim; }
  bool isMine() const;
  // Releases the lease, so that a successor need not wait until it expires.
  void release() { Releasing = true; }
  bool isReleased() const { return !isMine(); }
  // Name of the latest known holder; empty if none is known.
  const std::string &holder() const { return Claim.Holder; }

private:
  void applyRecord(const wire::duty_record &Record, int64_t Offset,
                   steady_time Now, bool OwnAnswer);
  void applyClaim(const wire::duty_claim &Received, int64_t Offset,
                  steady_time Now, bool OwnAnswer);
  void applyFigures(const wire::window_counts &Received);
  bool isClaimDue(steady_time Now, uint64_t Random);
  bool isRenewalDue(steady_time Now) const;
  void append(wire::duty_record Record, steady_time Now,
              routing_effects &Effects);
  void read(steady_time Now, routing_effects &Effects);
  wire::duty_record makeClaim() const;
  void onCallFailed(steady_time Now);

  duration claimJitter() const;
  int64_t nextFence() const;
  bool mayLackClaims() const;
  void queueLostFigures();
  void trimLostFigures();
  // Handles that the records before Start, which were not read, are deleted.
  void onHistoryCut(int64_t Start, steady_time Now, routing_effects &Effects);
  // Returns whether every record since the newest known claim was read.
  bool isClaimCurrent() const;
  // Returns whether an entry has claimed with a higher token than this one.
  bool hasLowerFence() const { return Claim.Fence < HighestFence; }
  bool hasLaterFigures(int64_t Window) const;

  duty_terms Terms;
  size_t Candidates = 1;
  std::string Self;
  int64_t Incarnation;
  bool Releasing = false;

  bool Known = false; // the log was read to its end at least once
  store_position End;
  int64_t GapEnd = 0; // end of the last gap in the current era; 0: none
  // Records behind the gap have not been read yet.
  bool IsGapNew = false;
  duty_claim_view Claim;
  int64_t HighestFence = -1; // of all known claims
  // This entry's lease was valid when it learned that the store was restored or
  // that records are missing, and no later claim is known.
  bool IsReclaiming = false;
  steady_time ReclaimableUntil; // end of that lease
  steady_time HeldUntil;        // end of the lease as assumed by other entries
  // End of the time for which this entry's own claim lets it act. The clock's
  // zero, which is in the distant past, means that it may not act at all.
  steady_time ValidUntil;
  steady_time ActFrom;

  // From when on this entry knows all figures that were written. Before the
  // first restore, and without a gap, it knows all.
  struct known_history {
    steady_time EraSince = steady_time::min();
    steady_time GapFoundAt = steady_time::min();
  };
  known_history History;
  // As of before the event for which this entry reclaims the lease. A holder
  // that reclaims it has missed nothing.
  known_history HistoryToReclaim;
  // Window of the first figures behind the last gap. Later windows have their
  // figures behind them.
  std::optional<int64_t> FirstReadFigures;
  std::map<int64_t, wire::window_counts> Figures;
  // Figures that were in the log, as found before the store was restored or by
  // a peer, and that this entry has not found in it since.
  std::map<int64_t, wire::window_counts> LostFigures;
  std::deque<wire::window_counts> UnwrittenFigures;

  enum class call { None, Append, Read };
  call Open = call::None;
  // Id of the open call. Answers to earlier calls are ignored, because they
  // have timed out.
  call_id OpenId;
  steady_time CalledAt;
  wire::duty_record Appending;
  bool MustRead = true;
  steady_time NextCall = steady_time::min();
  std::optional<steady_time> ClaimAt;
};

} // namespace monsoonreel

#endif // ROUTING_DUTY_LOG_H
