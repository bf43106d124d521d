// When each request of a run is sent, and what it is.
//
//   std::vector<planned_request> Plan =
//       planArrivals(Scenario, std::chrono::seconds(30), /*Seed=*/7);
//
// Arrivals are open loop: they depend on the scenario, the length and the seed
// only, never on how fast answers come, so that a slow system can't thin out
// its own load. The same arguments give the same plan on every machine.

#ifndef LOAD_ARRIVAL_SCHEDULE_H
#define LOAD_ARRIVAL_SCHEDULE_H

#include <string>
#include <vector>

#include "load/scenario.h"

namespace monsoonreel::load {

struct planned_request {
  duration At{}; // since the start of the run
  size_t Traffic = 0;
  size_t Organisation = 0;
  std::string Body;
  std::string IdempotencyKey; // empty: none is sent
};

std::vector<planned_request> planArrivals(const scenario &Scenario,
                                          duration Length, uint64_t Seed);

} // namespace monsoonreel::load

#endif // LOAD_ARRIVAL_SCHEDULE_H
