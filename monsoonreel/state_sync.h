// Passes a stream of the log on between nodes, so that a node which can't read
// the log has its records from a peer.
//
//   state_sync Sync(Self, std::string(operator_stream));
//   // A follower read records from the log and applied them:
//   Sync.onLogRecords(Records, Peers, Event.Random, Effects);
//   // A message of a peer; Peers are Members.livePeers():
//   stream_delivery Delivery;
//   if (Sync.onMessage(Received, Now, Peers, Random, Delivery, Effects))
//     apply(Delivery);
//   // Pulls from the peer that has the highest offset:
//   Sync.onTick(Now, Members.highestLedgerOffset(), Effects);
//
// It keeps the newest snapshot and the records after it, within
// `max_sync_bytes`. New records are pushed to a few peers at once, and each
// peer for which they are new pushes them on. Records that are too large for
// that are only announced, and pulled by those who lack them, so that each
// node receives them once. Whoever missed a push learns of the offset by a
// heartbeat and pulls.
//
// Offsets only grow: a delivery continues exactly where this node's records
// end, or is a snapshot that covers more than they do.

#ifndef MONSOONREEL_STATE_SYNC_H
#define MONSOONREEL_STATE_SYNC_H

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/membership.h"
#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

// Bytes of records and snapshot that are kept.
constexpr size_t max_sync_bytes = size_t{16} << 20;
// Bytes of records in one push; the rest is pulled with the next one.
constexpr size_t max_push_bytes = size_t{512} << 10;
// Largest push that goes out unasked; of more, only the offset is told.
constexpr size_t max_eager_bytes = size_t{2} << 10;
// Peers that a new record is pushed to at once.
constexpr size_t eager_fanout = 3;
// More records than this in an answer are a catch-up, and not passed on.
constexpr size_t max_passed_on_records = 16;
// Without an answer for so long, another peer is asked.
constexpr duration pull_timeout = std::chrono::milliseconds(500);
constexpr size_t max_snapshot_bytes = size_t{3} << 20;

// Records for the replay, in order. When there is a snapshot it comes first,
// and Records continue after its CoversOffset.
struct stream_delivery {
  std::optional<wire::snapshot> Snapshot;
  std::vector<wire::stored_record> Records;

  bool empty() const { return !Snapshot && Records.empty(); }
};

class state_sync {
public:
  state_sync(node_identity Self, std::string Stream);

  // Records that this node read from the log. Those that are new are kept and
  // pushed to some of Peers.
  void onLogRecords(const std::vector<wire::stored_record> &Records,
                    const std::vector<wire::member> &Peers, uint64_t Random,
                    effect_list &Effects);

  // Keeps a snapshot that covers all records up to Covers, so that older
  // records need not be kept. For a node that restored its replay from the log
  // or wrote a snapshot itself.
  void keepSnapshot(log_offset Covers, const std::string &State);

  // True when the message was a pull or a push of this stream. What it brings
  // is added to Delivery and has to be applied at once.
  bool onMessage(const peer_message_received &Received, steady_time Now,
                 const std::vector<wire::member> &Peers, uint64_t Random,
                 stream_delivery &Delivery, effect_list &Effects);

  // Pulls from one of Ahead, the peers with a higher offset, best first.
  void onTick(steady_time Now, const std::vector<ledger_peer> &Ahead,
              effect_list &Effects);

  // The replay could not use a delivery: forgets everything that is kept and
  // pulls again from after Applied.
  void restart(log_offset Applied);

  // The highest offset that this node has.
  log_offset highest() const { return Highest; }
  // Bytes kept.
  size_t bytes() const { return Bytes; }

private:
  struct open_pull {
    node_name From;
    steady_time SentAt;
  };

  void answerPull(const ledger_peer &To, const wire::state_pull &Asked,
                  effect_list &Effects) const;
  void takePush(const wire::state_push &Push, stream_delivery &Delivery,
                effect_list &Effects);
  void takeSnapshot(const wire::stored_record &Stored,
                    stream_delivery &Delivery);
  void keepRecord(const wire::stored_record &Stored);
  void clearRecords();
  void storeSnapshot(wire::stored_record Stored);
  void pull(const node_name &From, const address &FromAddress, steady_time Now,
            effect_list &Effects);
  void pushEagerly(log_offset After, const std::vector<wire::member> &Peers,
                   const node_name &Except, uint64_t Random,
                   effect_list &Effects) const;
  void dropOld();

  node_identity Self;
  std::string Stream;
  log_offset Highest;
  size_t Bytes = 0;
  std::optional<wire::stored_record> Snapshot; // Offset is what it covers
  std::deque<wire::stored_record> Records;     // without gaps, up to Highest
  std::optional<open_pull> Pull;
  // Did not answer a pull: passed over until another peer was tried.
  node_name Silent;
};

} // namespace monsoonreel

#endif // MONSOONREEL_STATE_SYNC_H
