// Replicates a stream of the log between nodes, so that a node that can't read
// the log receives its records from a peer.
//
//   state_sync Sync(Self, std::string(operator_stream));
//   // A follower read records from the log and applied them:
//   Sync.onLogRecords(Records, Peers, Event.Random, Effects);
//   // A message from a peer; Peers are Members.livePeers():
//   stream_delivery Delivery;
//   if (Sync.onMessage(Received, Now, Peers, Random, Delivery, Effects))
//     apply(Delivery);
//   // Pulls from the peer with the highest offset:
//   Sync.onTick(Now, Members.highestLedgerOffset(), Effects);
//
// A node keeps the newest snapshot and the records after it, up to
// `max_sync_bytes`. New records are pushed to a few peers at once, and each
// peer for which they are new forwards them. For records that are too large for
// this, only the highest offset is sent, and the nodes that lack the records
// pull them, so that each node receives them once. A node that missed a push
// finds the higher offset in a heartbeat and pulls.
//
// Offsets only increase: a delivery either continues exactly where this node's
// records end, or is a snapshot that covers more records.

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

// Maximum size of the records and the snapshot that are kept.
constexpr size_t max_sync_bytes = size_t{16} << 20;
// Maximum size of the records in one push; the rest is pulled afterwards.
constexpr size_t max_push_bytes = size_t{512} << 10;
// Maximum size of the records in an unsolicited push. If there are more, only
// the highest offset is sent.
constexpr size_t max_eager_bytes = size_t{2} << 10;
// Number of peers to which a new record is pushed at once.
constexpr size_t eager_fanout = 3;
// An answer to a pull with more records than this is a catch-up and is not
// forwarded.
constexpr size_t max_forwarded_records = 16;
// If a pull is not answered within this time, another peer is asked.
constexpr duration pull_timeout = std::chrono::milliseconds(500);
constexpr size_t max_snapshot_bytes = size_t{3} << 20;

// Records for the replay, in order. If there is a snapshot, it has to be
// restored first, and Records continue after its CoversOffset.
struct stream_delivery {
  std::optional<wire::snapshot> Snapshot;
  std::vector<wire::stored_record> Records;

  bool empty() const { return !Snapshot && Records.empty(); }
};

class state_sync {
public:
  state_sync(node_identity Self, std::string Stream);

  // Takes the records that this node read from the log. New records are kept
  // and pushed to some of Peers.
  void onLogRecords(const std::vector<wire::stored_record> &Records,
                    const std::vector<wire::member> &Peers, uint64_t Random,
                    effect_list &Effects);

  // Keeps a snapshot that covers all records up to Covers, so that these
  // records need not be kept. For a node that restored its replay from the log
  // or wrote a snapshot itself. Ignored if it is not newer than the kept
  // snapshot or is larger than max_snapshot_bytes.
  void keepSnapshot(log_offset Covers, const std::string &State);

  // Returns true if the message is a pull or a push of this stream. Its records
  // are added to Delivery, which has to be applied at once.
  bool onMessage(const peer_message_received &Received, steady_time Now,
                 const std::vector<wire::member> &Peers, uint64_t Random,
                 stream_delivery &Delivery, effect_list &Effects);

  // Pulls from one of Ahead: the peers with a higher offset, in the order of
  // preference.
  void onTick(steady_time Now, const std::vector<ledger_peer> &Ahead,
              effect_list &Effects);

  // Call this if the replay could not use a delivery. Discards all kept records
  // and the snapshot, and pulls again from the offset after Applied.
  void restart(log_offset Applied);

  // The highest offset that this node has.
  log_offset highest() const { return Highest; }
  // The size of the records and the snapshot that are kept.
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
  std::optional<wire::stored_record> Snapshot; // Offset is the covered offset
  std::deque<wire::stored_record> Records;     // without gaps, up to Highest
  std::optional<open_pull> Pull;
  // The last peer that did not answer a pull. Other peers are preferred to it.
  node_name UnresponsivePeer;
};

} // namespace monsoonreel

#endif // MONSOONREEL_STATE_SYNC_H
