// Writes snapshots of a stream before the platform drops its records.
//
//   snapshot_scheduler Snapshots(Settings.SnapshotPeriod);
//   Snapshots.onTick(Now, Random, Replica, Effects);
//
// A snapshot is due `snapshot_records` records after the last one, and at the
// latest when Period has passed since the last one was read. Period must be
// well below the platform's retention time. A snapshot is due even if no record
// was appended, because the platform would otherwise drop the record that holds
// the configuration. Every follower waits a random time, and writes only if no
// other follower has written a snapshot in the meantime. No lease is needed,
// because an additional snapshot is harmless.

#ifndef MONSOONREEL_SNAPSHOT_SCHEDULER_H
#define MONSOONREEL_SNAPSHOT_SCHEDULER_H

#include <optional>

#include "monsoonreel/stream_replica.h"

namespace monsoonreel {

constexpr int64_t snapshot_records = 2000;
constexpr duration default_snapshot_period = std::chrono::minutes(10);
// Upper bound of the random wait.
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
