// The steward's part of claims: appends what entries ask for to the claims
// stream, in batches, and answers from what was read back.
//
//   claim_desk Desk(Self, Calls);
//   log_follower Follower(std::string(claims_stream), Desk);
//   ...
//   Follower.setFollowing(isClaimDesk(Members));
//   Desk.onTick({Event.Now, Event.Wall, Follower.isCaughtUp(),
//                Limits.ClaimWindow}, Members, Effects);
//   if (Desk.onMessage(Received, Event.Now, Members, Effects))
//     return; // it was a claim_ask or claim_settle
//   Desk.onAppendAnswered(Answered, Event.Now); // also those of other writers
//
// No claim is answered as won before its record has been read back and holds
// the key in the replay: another steward may have appended an earlier one. A
// batch that may be in the log is sent again with the same sequence until it
// is read back.

#ifndef MONSOONREEL_CLAIM_DESK_H
#define MONSOONREEL_CLAIM_DESK_H

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

// Between two batches of one desk.
constexpr duration claim_batch_period = std::chrono::milliseconds(50);
constexpr size_t max_batch_claims = 512;
constexpr size_t max_batch_outcome_bytes = size_t{512} << 10;
// Asks and outcomes that wait for the log.
constexpr size_t max_waiting_asks = 4096;
constexpr size_t max_waiting_settles = 4096;
// An ask that was not appended for so long is dropped: its entry gave it up.
constexpr duration waiting_ask_retention = std::chrono::seconds(5);
// A record that is not read back for so long means that the log is out.
constexpr duration log_outage_after = std::chrono::seconds(2);
// A holder that is not known to live counts as alive for so long after its
// claim was read back.
constexpr duration holder_grace = std::chrono::seconds(10);
// When to come back while another request with the key may be running.
constexpr duration in_progress_retry_after = std::chrono::seconds(1);
// When to come back while the log is out.
constexpr duration log_outage_retry_after = std::chrono::seconds(5);
// Records, and time with at least one record, between two snapshots.
constexpr size_t claims_snapshot_records = 20000;
constexpr duration claims_snapshot_period = std::chrono::minutes(30);
// How much longer each later desk waits, so that one snapshot is written.
constexpr size_t claims_snapshot_stagger_records = 500;
constexpr duration claims_snapshot_stagger = std::chrono::minutes(1);

// What a desk is told at each tick.
struct claim_desk_tick {
  steady_time Now;
  wall_time Wall;
  // Whether the claims stream was replayed up to its end.
  bool CaughtUp = false;
  // For how long keys are to be remembered: Limits.ClaimWindow.
  duration Window{};
};

class claim_desk : public log_replica {
public:
  claim_desk(node_identity Self, call_counter &Calls);

  // ------------------------------------------------------------ log_replica
  log_offset applied() const override { return Table.applied(); }
  void applyRecord(log_offset Offset, const std::string &Bytes, steady_time Now,
                   effect_list &Effects) override;
  bool restoreSnapshot(log_offset Covers, const std::string &State,
                       steady_time Now, effect_list &Effects) override;

  // --------------------------------------------------------------- steward
  void onTick(const claim_desk_tick &Tick, const membership &Members,
              effect_list &Effects);
  // True when the message was a claim_ask or a claim_settle.
  bool onMessage(const peer_message_received &Received, steady_time Now,
                 const membership &Members, effect_list &Effects);
  // Answers to appends of other writers are ignored.
  void onAppendAnswered(const append_answered &Answer, steady_time Now);
  void onAppendFailed(const append_failed &Failure, steady_time Now,
                      uint64_t Random);

  const claim_table &table() const { return Table; }
  size_t waitingAsks() const { return Asks.size(); }

private:
  using attempt_key = std::pair<int64_t, int64_t>; // incarnation, sequence
  struct asker {
    node_name Name;
    address Address;
  };
  template <typename T> struct waiting {
    T Message;
    asker From;
    steady_time Since;
    std::optional<writer_ticket> Ticket; // once it is in a batch
  };

  void onAsk(const wire::claim_ask &Ask, const asker &From, steady_time Now,
             const membership &Members, effect_list &Effects);
  void onSettle(const wire::claim_settle &Settle, const asker &From,
                steady_time Now, effect_list &Effects);
  // What the replay says about an ask; nothing when it has to be appended.
  std::optional<wire::claim_answer> answerFrom(const wire::claim_ask &Ask,
                                               steady_time Now,
                                               const membership &Members) const;
  wire::claim_answer answerAboutOther(const wire::claim_ask &Ask,
                                      const claim &Claim, steady_time Now,
                                      const membership &Members) const;
  bool isLogOut(steady_time Now) const;

  // Each adds what waits to the batch, up to its bound, and returns what was
  // added.
  std::vector<waiting<wire::claim_ask> *> addClaims(wire::claim_batch &Batch);
  std::vector<waiting<wire::claim_settle> *>
  addOutcomes(wire::claim_batch &Batch);
  void appendBatch(const claim_desk_tick &Tick, effect_list &Effects);
  void answerWritten(steady_time Now, const membership &Members,
                     effect_list &Effects);
  void answerKnown(steady_time Now, const membership &Members,
                   effect_list &Effects);
  void dropStale(steady_time Now);
  void appendSnapshot(const claim_desk_tick &Tick, const membership &Members,
                      effect_list &Effects);
  static void send(const asker &To, wire::peer_message Message,
                   effect_list &Effects);

  node_identity Self;
  claim_table Table;
  record_writer Writer;
  bool CaughtUp = false;
  std::map<attempt_key, waiting<wire::claim_ask>> Asks;
  std::map<attempt_key, waiting<wire::claim_settle>> Settles;
  // When each held claim of the last holder_grace was read back.
  std::map<attempt_key, steady_time> ReadBackAt;
  std::optional<writer_ticket> InFlight;
  steady_time NextBatch;
  size_t RecordsSinceSnapshot = 0;
  std::optional<steady_time> FirstRecordSinceSnapshot;
};

} // namespace monsoonreel

#endif // MONSOONREEL_CLAIM_DESK_H
