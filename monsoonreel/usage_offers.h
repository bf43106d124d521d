// Usage batches that are offered to stewards until the log has them.
//
//   usage_offers Offers;
//   Offers.add(Batch);
//   Offers.onTick(Now, Random, Stewards, Effects);
//   Offers.remove(Source, Sequence); // it was accepted
//
// A batch may be offered by anyone, to any steward, as often as it takes: the
// replay counts it once. Of one source only batches within `max_batches_ahead`
// of its first open one are under way, because the replay counts no others.

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
  // A batch that is there already is left as it is.
  void add(wire::usage_batch Batch);
  // True when the batch was there.
  bool remove(incarnation Source, int64_t Sequence);

  // Offers what is due to one of Stewards; the preferred one comes first.
  void onTick(steady_time Now, uint64_t Random,
              const std::vector<wire::member> &Stewards, effect_list &Effects);

  bool contains(incarnation Source, int64_t Sequence) const;
  const wire::usage_batch *find(incarnation Source, int64_t Sequence) const;
  // The lowest sequence of Source that is open, or nothing.
  std::optional<int64_t> firstOpen(incarnation Source) const;
  bool empty() const { return Batches.empty(); }
  // In all batches together; what memory is bounded by.
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
