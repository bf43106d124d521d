// Chooses the upstream for a request that is to be granted a slot.
//
//   auto Policy = makeLeastWorkPlacement();
//   std::optional<size_t> Index = Policy->choose(Work, Candidates);
//
// The candidates have been filtered: each one may take the request now. A
// placement policy only ranks them.

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
  // Own grants that run, and what the engine reports beyond them.
  int InFlight = 0;
  // Tokens of prompts that are probably not read yet.
  double PrefillTokens = 0;
  // Time to the first token relative to its neighbours; 1 is usual.
  double Slowness = 1;
  double Cost = 1;
  // It has probably read the request's prefix.
  bool HasPrefix = false;
};

struct placement_work {
  int PromptTokens = 0;
};

class placement_policy {
public:
  virtual ~placement_policy() = default;
  // Index of the best candidate; none when there are no candidates.
  virtual std::optional<size_t>
  choose(const placement_work &Work,
         const std::vector<placement_candidate> &Candidates) = 0;
};

// The least time to the first token as far as it can be foreseen: outstanding
// prefill work, load, observed slowness, prefix affinity, then cost.
std::unique_ptr<placement_policy> makeLeastWorkPlacement();
// The fewest requests in flight.
std::unique_ptr<placement_policy> makeLeastInFlightPlacement();
// One after the other.
std::unique_ptr<placement_policy> makeRoundRobinPlacement();

} // namespace monsoonreel

#endif // MONSOONREEL_PLACEMENT_H
