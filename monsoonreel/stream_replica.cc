#include "monsoonreel/stream_replica.h"

#include <utility>

namespace monsoonreel {

stream_replica::stream_replica(std::string_view Stream,
                               const node_identity &Self, call_counter &Calls)
    : Ledger(Stream), Follower(std::string(Stream), *this),
      Writer(std::string(Stream), Self.Incarnation, Calls),
      Self(Self.Incarnation) {}

void stream_replica::addLease(lease_holder &Lease) { Leases.push_back(&Lease); }

void stream_replica::onTick(steady_time Now, uint64_t Random,
                            effect_list &Effects) {
  Follower.onTick(Now, Random, Effects);
  for (lease_holder *Lease : Leases)
    Lease->onTick(Now, Random, Follower.isCaughtUp(), Writer);
  Writer.onTick(Now, Effects);
}

void stream_replica::onEvent(const event &Event, effect_list &Effects) {
  dispatchLogEvent(Event, Follower, Writer, Effects);
}

void stream_replica::applyRecord(log_offset Offset, const std::string &Bytes,
                                 steady_time Now, effect_list &Effects) {
  ledger_change Change = Ledger.apply(Offset, Bytes, Effects);
  if (Change.Verdict == record_verdict::Stale ||
      Change.Verdict == record_verdict::Gap)
    return;
  if (Change.Lease)
    for (lease_holder *Lease : Leases)
      Lease->onLease(*Change.Lease, Now, Writer);
  if (Change.Record)
    Writer.onReplayed(Offset, *Change.Record, Change.isValid());
  wire::stored_record Stored;
  Stored.Offset = Offset.Value;
  Stored.Bytes = Bytes;
  Records.push_back(std::move(Stored));
  Changes.push_back(std::move(Change));
}

bool stream_replica::restoreSnapshot(log_offset Covers,
                                     const std::string &State, steady_time Now,
                                     effect_list &Effects) {
  auto Decoded = decodeLedgerState(State);
  if (!Decoded || !Ledger.restore(Covers, *Decoded, Effects))
    return false;
  for (lease_holder *Lease : Leases)
    if (const auto *Current = Ledger.findLease(Lease->terms().Name))
      Lease->onLease(*Current, Now, Writer);
  Writer.onRestored(Ledger.writerOffset(Self), Ledger.writerSequence(Self));
  Records.clear();
  Changes.clear();
  Restored = true;
  return true;
}

std::vector<ledger_change> stream_replica::takeChanges() {
  return std::exchange(Changes, {});
}

bool stream_replica::takeRestored() { return std::exchange(Restored, false); }

std::vector<wire::stored_record> stream_replica::takeRecords() {
  return std::exchange(Records, {});
}

} // namespace monsoonreel
