// Writes snapshots of a stream, well before the platform drops its records.
//
//   snapshot_scheduler Snapshots(Settings.SnapshotPeriod);
//   Snapshots.onTick(Now, Random, Replica, Effects);
//
// A snapshot is due `snapshot_records` records after the last one, and at the
// latest a period after it was read, which has to be well under the time for
// which the platform keeps records. It is due also when nothing was appended:
// the record that holds the configuration would be dropped otherwise. Every
// follower waits a random time and writes only if no other has done so
// meanwhile. No lease is needed, because a second snapshot does no harm.

#ifndef MONSOONREEL_SNAPSHOT_SCHEDULER_H
#define MONSOONREEL_SNAPSHOT_SCHEDULER_H

#include <optional>

#include "monsoonreel/stream_replica.h"

namespace monsoonreel {

constexpr int64_t snapshot_records = 2000;
constexpr duration default_snapshot_period = std::chrono::minutes(10);
// Followers spread their snapshots over this time.
constexpr duration snapshot_jitter = std::chrono::seconds(20);

class snapshot_scheduler {
public:
  explicit snapshot_scheduler(duration Period);

  void onTick(steady_time Now, uint64_t Random, stream_replica &Replica,
              effect_list &Effects);

private:
  bool isDue(steady_time Now, const ledger &State);
  void write(stream_replica &Replica, effect_list &Effects);

  duration Period;
  log_offset Last;
  std::optional<steady_time> LastReadAt;
  std::optional<steady_time> WriteAt;
  std::optional<writer_ticket> Pending;
};

} // namespace monsoonreel

#endif // MONSOONREEL_SNAPSHOT_SCHEDULER_H
