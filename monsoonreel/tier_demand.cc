#include "monsoonreel/tier_demand.h"

#include <algorithm>
#include <cmath>

namespace monsoonreel {

namespace {

using seconds = std::chrono::duration<double>;

} // namespace

double tier_demand::decaying_sum::value(steady_time Now) const {
  return Seconds * std::exp(-(seconds(Now - At) / seconds(demand_decay_time)));
}

void tier_demand::add(tier Tier, duration Hold, steady_time Now) {
  decaying_sum &Sum = ByTier[Tier];
  Sum.Seconds = Sum.value(Now) + seconds(Hold).count();
  Sum.At = Now;
}

double tier_demand::above(tier Tier, int Slots, steady_time Now) const {
  double Sum = 0;
  for (const auto &[Other, Demand] : ByTier)
    if (Other < Tier)
      Sum += Demand.value(Now);
  return Sum / (seconds(demand_decay_time).count() * std::max(1, Slots));
}

} // namespace monsoonreel
