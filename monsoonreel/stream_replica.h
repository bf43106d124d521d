// One node's replica of a stream: its ledger, the follower that reads records
// into it, and the writer that appends records.
//
//   stream_replica Usage(usage_stream, Self, Calls);
//   Usage.addLease(UsageLease);
//   Usage.follower().setFollowing(true);
//   Usage.onTick(Now, Random, Effects);
//   Usage.onEvent(Event, Effects);
//   for (const ledger_change &Change : Usage.takeChanges()) ...
//
// Records come from the log through the follower, or from a peer through
// `applyRecord` and `restoreSnapshot`. Each record is passed to the ledger, to
// the leases, and then to the writer. The leases come before the writer because
// the writer discards the time at which a claim was first sent.

#ifndef MONSOONREEL_STREAM_REPLICA_H
#define MONSOONREEL_STREAM_REPLICA_H

#include <string_view>
#include <variant>
#include <vector>

#include "monsoonreel/event.h"
#include "monsoonreel/lease_holder.h"
#include "monsoonreel/ledger.h"
#include "monsoonreel/log_follower.h"
#include "monsoonreel/node.h"
#include "monsoonreel/record_writer.h"

namespace monsoonreel {

// Passes answers and failures of log calls to the follower and the writer of a
// stream, each of which ignores answers to calls of others. Ignores other
// events.
template <typename Appender>
void dispatchLogEvent(const event &Event, log_follower &Follower,
                      Appender &Writer, effect_list &Effects) {
  if (const auto *Read = std::get_if<log_records_read>(&Event.Body))
    Follower.onRecords(*Read, Event.Now, Event.Random, Effects);
  else if (const auto *Failed = std::get_if<log_read_failed>(&Event.Body))
    Follower.onFailure(*Failed, Event.Now, Event.Random);
  else if (const auto *Answer = std::get_if<append_answered>(&Event.Body))
    Writer.onAppendAnswered(*Answer, Event.Now);
  else if (const auto *Lost = std::get_if<append_failed>(&Event.Body))
    Writer.onAppendFailed(*Lost, Event.Now, Event.Random);
}

class stream_replica : public log_replica {
public:
  stream_replica(std::string_view Stream, const node_identity &Self,
                 call_counter &Calls);
  stream_replica(const stream_replica &) = delete;
  stream_replica &operator=(const stream_replica &) = delete;

  // From now on, calls Lease's `onLease` for each lease state that is replayed
  // or restored, and its `onTick` on each tick. Lease must outlive this object.
  void addLease(lease_holder &Lease);

  const ledger &state() const { return Ledger; }
  log_follower &follower() { return Follower; }
  const log_follower &follower() const { return Follower; }
  record_writer &writer() { return Writer; }

  void onTick(steady_time Now, uint64_t Random, effect_list &Effects);
  // Handles reads and appends that were answered or failed; ignores other
  // events.
  void onEvent(const event &Event, effect_list &Effects);

  log_offset applied() const override { return Ledger.applied(); }
  void applyRecord(log_offset Offset, const std::string &Bytes, steady_time Now,
                   effect_list &Effects) override;
  bool restoreSnapshot(log_offset Covers, const std::string &State,
                       steady_time Now, effect_list &Effects) override;

  // Returns the changes that were replayed since the last call.
  std::vector<ledger_change> takeChanges();
  // Returns whether a snapshot was restored since the last call.
  bool takeRestored();
  // Returns the records that were applied since the last call, for replication
  // to peers.
  std::vector<wire::stored_record> takeRecords();

private:
  ledger Ledger;
  log_follower Follower;
  record_writer Writer;
  incarnation Self;
  std::vector<lease_holder *> Leases;
  std::vector<ledger_change> Changes;
  std::vector<wire::stored_record> Records;
  bool Restored = false;
};

} // namespace monsoonreel

#endif // MONSOONREEL_STREAM_REPLICA_H
