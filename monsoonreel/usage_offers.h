// Offers usage batches to stewards until they are in the log.
//
//   usage_offers Offers;
//   Offers.add(Batch);
//   Offers.onTick(Now, Random, Stewards, Effects);
//   Offers.remove(Source, Sequence); // it was accepted
//
// A batch may be offered by any node, to any steward, any number of times: the
// replay counts it once. For each source, only batches within
// `max_batches_ahead` of its first open one are offered, because the replay
// counts no others.

#ifndef MONSOONREEL_USAGE_OFFERS_H
#define MONSOONREEL_USAGE_OFFERS_H

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>

#include "monsoonreel/effect.h"
#include "monsoonreel/ledger.h"
#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

// A batch that is not accepted within this time is offered to the next steward.
constexpr duration offer_timeout = std::chrono::seconds(2);

class usage_offers {
public:
  // Adds Batch unless there is one with the same source and sequence.
  void add(wire::usage_batch Batch);
  // Returns whether the batch was present.
  bool remove(incarnation Source, int64_t Sequence);

  // Offers each batch that is due to one of Stewards: first to the first one,
  // then with each retry to the next one.
  void onTick(steady_time Now, uint64_t Random,
              const std::vector<wire::member> &Stewards, effect_list &Effects);

  bool contains(incarnation Source, int64_t Sequence) const;
  const wire::usage_batch *find(incarnation Source, int64_t Sequence) const;
  // The lowest open sequence of Source, or nullopt.
  std::optional<int64_t> firstOpen(incarnation Source) const;
  bool empty() const { return Batches.empty(); }
  // Number of increments in all batches, by which callers bound memory.
  size_t incrementCount() const { return Increments; }

private:
  // Source and sequence.
  using batch_key = std::pair<incarnation, int64_t>;
  struct open_batch {
    wire::usage_batch Batch;
    steady_time NextOffer = steady_time::min();
    size_t Tries = 0;
  };
  using batch_map = absl::btree_map<batch_key, open_batch>;

  batch_map::iterator erase(batch_map::iterator Place);

  batch_map Batches;
  size_t Increments = 0;
};

} // namespace monsoonreel

#endif // MONSOONREEL_USAGE_OFFERS_H
