// Holds usage batches of entries on other VMs, and offers them to the log once
// their source is dead.
//
//   usage_keeper Keeper(Self.Incarnation);
//   if (Keeper.onMessage(Received, Effects)) ...
//   for (incarnation Source : Keeper.sources())
//     if (!Members.mayRun(Source))
//       Keeper.onSourceDead(Source);
//   Keeper.onTick(Now, Random, Stewards, Effects);
//
// A source that is taken for dead by mistake does no harm: its batches are the
// same wherever they come from, and each counts once.

#ifndef MONSOONREEL_USAGE_KEEPER_H
#define MONSOONREEL_USAGE_KEEPER_H

#include <cstdint>
#include <vector>

#include <absl/container/btree_map.h>

#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/types.h"
#include "monsoonreel/usage_offers.h"

namespace monsoonreel {

// Beyond this a hold is not answered, and the source keeps asking.
constexpr size_t max_kept_increments = 131072;

class usage_keeper {
public:
  explicit usage_keeper(incarnation Self);

  // True when the message was a hold, a release, or the acceptance of a batch
  // that is kept here.
  bool onMessage(const peer_message_received &Received, effect_list &Effects);

  // The incarnations that have batches here and are not known to be dead.
  std::vector<incarnation> sources() const;
  void onSourceDead(incarnation Source);

  void onTick(steady_time Now, uint64_t Random,
              const std::vector<wire::member> &Stewards, effect_list &Effects);

  bool empty() const { return Kept.empty() && Orphans.empty(); }

private:
  bool onHold(const peer_message_received &Received,
              const wire::usage_hold &Hold, effect_list &Effects);

  void release(incarnation Source, int64_t UpTo);

  incarnation Self;
  size_t KeptIncrements = 0;
  // By source, then by sequence.
  absl::btree_map<incarnation, absl::btree_map<int64_t, wire::usage_batch>>
      Kept;
  // Batches of dead sources.
  usage_offers Orphans;
};

} // namespace monsoonreel

#endif // MONSOONREEL_USAGE_KEEPER_H
