// Chooses the upstream for a request that is about to be granted a slot.
//
//   auto Policy = makeLeastWorkPlacement();
//   std::optional<size_t> Index = Policy->choose(Work, Candidates);
//
// Every candidate can take the request now; a placement policy only ranks them.

#ifndef MONSOONREEL_PLACEMENT_H
#define MONSOONREEL_PLACEMENT_H

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "monsoonreel/types.h"

namespace monsoonreel {

// One upstream with room for the request.
struct placement_candidate {
  size_t Index = 0; // of the upstream in its cell
  int Concurrency = 1;
  // Requests that run: this owner's grants, plus what the engine reports beyond
  // them.
  int InFlight = 0;
  // Estimated number of prompt tokens that are not processed yet.
  double PrefillTokens = 0;
  // Ratio of its time to the first token to the median of the cell's other
  // upstreams, at least 1.
  double Slowness = 1;
  double Cost = 1;
  // Whether it probably has the request's prefix cached.
  bool HasPrefix = false;
};

struct placement_work {
  int PromptTokens = 0;
};

class placement_policy {
public:
  virtual ~placement_policy() = default;
  // Returns the Index of the best candidate, or nothing without candidates.
  virtual std::optional<size_t>
  choose(const placement_work &Work,
         const std::vector<placement_candidate> &Candidates) = 0;
};

// Chooses the smallest estimated time to the first token, from outstanding
// prefill work, load, observed slowness and prefix affinity, plus a penalty for
// cost.
std::unique_ptr<placement_policy> makeLeastWorkPlacement();
// Chooses the upstream with the fewest requests in flight.
std::unique_ptr<placement_policy> makeLeastInFlightPlacement();
// Chooses the upstreams in turn.
std::unique_ptr<placement_policy> makeRoundRobinPlacement();

} // namespace monsoonreel

#endif // MONSOONREEL_PLACEMENT_H
