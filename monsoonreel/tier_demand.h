// Estimates the recent demand of the tiers for slots.
//
//   tier_demand Demand;
//   Demand.add(Tier, ExpectedHold, Now);
//   double Busy = Demand.above(Tier, Slots, Now);
//
// Future requests of higher tiers are granted before requests that already
// wait, so the wait of a tier is that of its queue divided by the fraction of
// the slots that the higher tiers leave. The demand decays exponentially with
// the time constant `demand_decay_time`.

#ifndef MONSOONREEL_TIER_DEMAND_H
#define MONSOONREEL_TIER_DEMAND_H

#include <map>

#include "monsoonreel/types.h"

namespace monsoonreel {

constexpr duration demand_decay_time = std::chrono::seconds(5);

class tier_demand {
public:
  // Records an accepted request that will hold a slot for Hold.
  void add(tier Tier, duration Hold, steady_time Now);
  // Fraction of Slots that the tiers above Tier demand, at least 0. It exceeds
  // 1 when they demand more than Slots.
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
