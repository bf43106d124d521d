// Holds copies of the usage batches of entries on other VMs, and offers them to
// stewards once their source is dead.
//
//   usage_holder Holder(Self.Incarnation);
//   if (Holder.onMessage(Received, Effects)) ...
//   for (incarnation Source : Holder.sources())
//     if (!Members.mayBeRunning(Source))
//       Holder.onSourceDead(Source);
//   Holder.onTick(Now, Random, Stewards, Effects);
//
// Declaring a live source dead is harmless: the batches are identical whichever
// node offers them, and each is counted once.

#ifndef MONSOONREEL_USAGE_HOLDER_H
#define MONSOONREEL_USAGE_HOLDER_H

#include <cstdint>
#include <vector>

#include <absl/container/btree_map.h>

#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/types.h"
#include "monsoonreel/usage_offers.h"

namespace monsoonreel {

// Above this number of increments a hold is not answered, and the source
// resends it.
constexpr size_t max_held_increments = 131072;

class usage_holder {
public:
  explicit usage_holder(incarnation Self);

  // Returns true when the message was a hold, a release, or the acceptance of a
  // batch that this node offers.
  bool onMessage(const peer_message_received &Received, effect_list &Effects);

  // The sources of the held batches, except those that were declared dead.
  std::vector<incarnation> sources() const;
  void onSourceDead(incarnation Source);

  void onTick(steady_time Now, uint64_t Random,
              const std::vector<wire::member> &Stewards, effect_list &Effects);

  bool empty() const { return HeldBatches.empty() && Orphans.empty(); }

private:
  bool onHold(const peer_message_received &Received,
              const wire::usage_hold &Hold, effect_list &Effects);

  void release(incarnation Source, int64_t UpTo);

  incarnation Self;
  size_t HeldIncrements = 0;
  // By source, then by sequence.
  absl::btree_map<incarnation, absl::btree_map<int64_t, wire::usage_batch>>
      HeldBatches;
  // Batches of dead sources.
  usage_offers Orphans;
};

} // namespace monsoonreel

#endif // MONSOONREEL_USAGE_HOLDER_H
