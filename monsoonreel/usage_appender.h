// Receives usage batches at a steward and appends them to the log.
//
//   usage_appender Appender;
//   if (Appender.onMessage(Received, Usage.state(), Effects)) ...
//   Appender.onTick(Now, Usage.writer());
//   Appender.onUsageChanged(Usage.state(), Effects); // after a replayed record
//
// A batch is acknowledged with `usage_accepted` once the replay has counted it.
// A batch that the replay does not count, because an earlier batch of its
// source is missing, is dropped without an answer; its holder offers it again.

#ifndef MONSOONREEL_USAGE_APPENDER_H
#define MONSOONREEL_USAGE_APPENDER_H

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>

#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/ledger.h"
#include "monsoonreel/record_writer.h"

namespace monsoonreel {

// Minimum time between two appends, so that one append contains many batches.
constexpr duration usage_append_interval = std::chrono::milliseconds(200);
constexpr size_t max_batches_per_append = 512;
constexpr size_t max_increments_per_append = 16384;
constexpr size_t max_waiting_batches = 8192;

class usage_appender {
public:
  // Returns true when the message was an offer.
  bool onMessage(const peer_message_received &Received, const ledger &Usage,
                 effect_list &Effects);

  // Appends the waiting batches, one record at a time.
  void onTick(steady_time Now, record_writer &Writer);

  // Acknowledges the waiting batches that the replay has counted.
  void onUsageChanged(const ledger &Usage, effect_list &Effects);

private:
  using batch_key = std::pair<incarnation, int64_t>;
  struct waiting_batch {
    wire::usage_batch Batch;
    node_name From;
    address FromAddress;
    bool Appended = false;
  };

  void dropAppended();

  absl::btree_map<batch_key, waiting_batch> Waiting;
  std::optional<writer_ticket> Pending;
  steady_time NextAppend = steady_time::min();
};

} // namespace monsoonreel

#endif // MONSOONREEL_USAGE_APPENDER_H
