// How much of the slots the tiers ask for, lately.
//
//   tier_demand Demand;
//   Demand.add(Tier, ExpectedHold, Now);
//   double Busy = Demand.above(Tier, Slots, Now);
//
// Requests of higher tiers that have yet to come are granted before those that
// wait, so a tier's wait is that of its queue divided by the part of the slots
// that the tiers above leave. The demand decays with `demand_memory`.

#ifndef MONSOONREEL_TIER_DEMAND_H
#define MONSOONREEL_TIER_DEMAND_H

#include <map>

#include "monsoonreel/types.h"

namespace monsoonreel {

constexpr duration demand_memory = std::chrono::seconds(5);

class tier_demand {
public:
  // A request that will take a slot for Hold was accepted.
  void add(tier Tier, duration Hold, steady_time Now);
  // Part of Slots that the tiers above Tier ask for, at least 0.
  double above(tier Tier, int Slots, steady_time Now) const;

private:
  struct decaying_sum {
    double Seconds = 0;
    steady_time At;
    double value(steady_time Now) const;
  };
  std::map<tier, decaying_sum> ByTier;
};

} // namespace monsoonreel

#endif // MONSOONREEL_TIER_DEMAND_H
