#include "monsoonreel/snapshot_scheduler.h"

#include <utility>

namespace monsoonreel {

snapshot_scheduler::snapshot_scheduler(duration Period) : Period(Period) {}

void snapshot_scheduler::onTick(steady_time Now, uint64_t Random,
                                stream_replica &Replica, effect_list &Effects) {
  if (Pending && !Replica.writer().isQueued(*Pending))
    Pending.reset();
  if (!isDue(Now, Replica.state())) {
    WriteAt.reset();
    return;
  }
  if (Pending || !Replica.follower().isCaughtUp())
    return;
  if (!WriteAt) {
    auto Span = static_cast<uint64_t>(snapshot_jitter.count());
    WriteAt = Now + duration(static_cast<int64_t>(Random % Span));
  }
  if (Now >= *WriteAt)
    write(Replica, Effects);
}

bool snapshot_scheduler::isDue(steady_time Now, const ledger &State) {
  if (!LastReadAt || State.lastSnapshot() != Last) {
    Last = State.lastSnapshot();
    LastReadAt = Now;
  }
  if (State.applied().Value == 0)
    return false;
  return State.applied().Value - Last.Value >= snapshot_records ||
         Now - *LastReadAt >= Period;
}

void snapshot_scheduler::write(stream_replica &Replica, effect_list &Effects) {
  WriteAt.reset();
  wire::snapshot Snapshot;
  Snapshot.CoversOffset = Replica.applied().Value;
  Snapshot.State = encodeState(Replica.state().state());
  wire::log_record Record;
  Record.__set_Snapshot(Snapshot);
  Pending = Replica.writer().enqueue(std::move(Record));
  if (!Pending)
    Effects.push_back(log_line{
        log_level::Error, "snapshot of stream " + Replica.state().stream() +
                              " can't be queued: it is too large, or the "
                              "write queue is full"});
}

} // namespace monsoonreel
