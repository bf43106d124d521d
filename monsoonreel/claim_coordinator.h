// The claim coordinator in a steward. It appends the claims and outcomes that
// entries send to the claims stream, in batches, and answers the entries once
// the batches have been read back.
//
//   claim_coordinator Coordinator(Self, Calls);
//   log_follower Follower(std::string(claims_stream), Coordinator);
//   ...
//   Follower.setFollowing(isClaimCoordinator(Members));
//   Coordinator.onTick({Event.Now, Event.Wall, Follower.isCaughtUp(),
//                       Limits.ClaimWindow}, Members, Effects);
//   if (Coordinator.onMessage(Received, Event.Now, Members, Effects))
//     return; // the message was a claim_ask or claim_settle
//   // May also be called for the appends of other writers.
//   Coordinator.onAppendAnswered(Answered, Event.Now);
//
// A claim is answered as won only after its record has been read back and the
// replayed table shows that it holds the key, because another steward may have
// appended an earlier claim. A batch that may already be in the log is resent
// with the same sequence until it is read back.

#ifndef MONSOONREEL_CLAIM_COORDINATOR_H
#define MONSOONREEL_CLAIM_COORDINATOR_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "monsoonreel/claim_table.h"
#include "monsoonreel/configuration.h"
#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/log_follower.h"
#include "monsoonreel/membership.h"
#include "monsoonreel/node.h"
#include "monsoonreel/record_writer.h"
#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

// Minimum interval between two batches of one coordinator.
constexpr duration claim_batch_period = std::chrono::milliseconds(50);
constexpr size_t max_batch_claims = 512;
constexpr size_t max_batch_outcome_bytes = size_t{512} << 10;
// Bounds on the asks and outcomes that are not read back from the log yet.
constexpr size_t max_waiting_asks = 4096;
constexpr size_t max_waiting_settles = 4096;
// An ask or outcome that has not been appended within this time is dropped.
// The entry has abandoned the ask by then, and resends an outcome.
constexpr duration waiting_ask_retention = std::chrono::seconds(5);
// The log counts as unavailable when a record is not read back within this
// time after it was first sent.
constexpr duration log_outage_after = std::chrono::seconds(2);
// For this time after its claim was read back, a holder counts as alive even if
// the membership does not list it as alive.
constexpr duration holder_grace = std::chrono::seconds(10);
// Suggested retry delay while another request with the key may be running.
constexpr duration in_progress_retry_after = std::chrono::seconds(1);
// Suggested retry delay while the log is unavailable.
constexpr duration log_outage_retry_after = std::chrono::seconds(5);
// A snapshot is due after this many records, or this long after the first
// record since the last snapshot.
constexpr size_t claims_snapshot_records = 20000;
constexpr duration claims_snapshot_period = std::chrono::minutes(30);
// Added to these limits for each rank of a coordinator, so that normally only
// one of them writes the snapshot.
constexpr size_t claims_snapshot_stagger_records = 500;
constexpr duration claims_snapshot_stagger = std::chrono::minutes(1);

// Input of a coordinator at each tick.
struct claim_coordinator_tick {
  steady_time Now;
  wall_time Wall;
  // Whether the claims stream has been replayed up to its end.
  bool CaughtUp = false;
  // How long claims are retained: Limits.ClaimWindow.
  duration Window{};
};

class claim_coordinator : public log_replica {
public:
  claim_coordinator(node_identity Self, call_counter &Calls);

  // ------------------------------------------------------------ log_replica
  log_offset applied() const override { return Table.applied(); }
  void applyRecord(log_offset Offset, const std::string &Bytes, steady_time Now,
                   effect_list &Effects) override;
  bool restoreSnapshot(log_offset Covers, const std::string &State,
                       steady_time Now, effect_list &Effects) override;

  // --------------------------------------------------------------- steward
  void onTick(const claim_coordinator_tick &Tick, const membership &Members,
              effect_list &Effects);
  // Returns true if the message is a claim_ask or a claim_settle.
  bool onMessage(const peer_message_received &Received, steady_time Now,
                 const membership &Members, effect_list &Effects);
  // Ignores answers to the appends of other writers.
  void onAppendAnswered(const append_answered &Answer, steady_time Now);
  void onAppendFailed(const append_failed &Failure, steady_time Now,
                      uint64_t Random);

  const claim_table &table() const { return Table; }
  size_t waitingAsks() const { return Asks.size(); }

private:
  using attempt_key = std::pair<int64_t, int64_t>; // incarnation, sequence
  struct requester {
    node_name Name;
    address Address;
  };
  template <typename T> struct waiting {
    T Message;
    requester From;
    steady_time Since;
    std::optional<writer_ticket> Ticket; // set once it is in a batch
  };

  void onAsk(const wire::claim_ask &Ask, const requester &From, steady_time Now,
             const membership &Members, effect_list &Effects);
  void onSettle(const wire::claim_settle &Settle, const requester &From,
                steady_time Now, effect_list &Effects);
  // The answer to an ask according to the replayed table; empty if a claim has
  // to be appended first.
  std::optional<wire::claim_answer> answerFrom(const wire::claim_ask &Ask,
                                               steady_time Now,
                                               const membership &Members) const;
  wire::claim_answer answerAboutOther(const wire::claim_ask &Ask,
                                      const claim &Claim, steady_time Now,
                                      const membership &Members) const;
  bool isLogUnavailable(steady_time Now) const;

  // Each adds waiting messages to the batch up to the batch's limit, and
  // returns the messages that it added.
  std::vector<waiting<wire::claim_ask> *> addClaims(wire::claim_batch &Batch);
  std::vector<waiting<wire::claim_settle> *>
  addOutcomes(wire::claim_batch &Batch);
  void appendBatch(const claim_coordinator_tick &Tick, effect_list &Effects);
  void answerWritten(steady_time Now, const membership &Members,
                     effect_list &Effects);
  void answerDecided(steady_time Now, const membership &Members,
                     effect_list &Effects);
  void dropStale(steady_time Now);
  void appendSnapshot(const claim_coordinator_tick &Tick,
                      const membership &Members, effect_list &Effects);
  static void send(const requester &To, wire::peer_message Message,
                   effect_list &Effects);

  node_identity Self;
  claim_table Table;
  record_writer Writer;
  bool CaughtUp = false;
  std::map<attempt_key, waiting<wire::claim_ask>> Asks;
  std::map<attempt_key, waiting<wire::claim_settle>> Settles;
  // When each claim was read back, for claims read back within the last
  // holder_grace.
  std::map<attempt_key, steady_time> ReadBackAt;
  std::optional<writer_ticket> InFlight;
  steady_time NextBatch;
  size_t RecordsSinceSnapshot = 0;
  std::optional<steady_time> FirstRecordSinceSnapshot;
};

} // namespace monsoonreel

#endif // MONSOONREEL_CLAIM_COORDINATOR_H
