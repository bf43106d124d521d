#include "routing/capacity_policy.h"

#include <algorithm>
#include <cmath>

namespace monsoonreel {

namespace {

// Number of stable upstreams in a zone while reclaimable ones are available.
constexpr int stable_in_zone = 1;
// At most one in this many upstreams of a zone may be a stable substitute. Both
// kinds share the zone's maximum, and a full zone would have no room for
// reclaimable upstreams.
constexpr int substitute_share = 2;
// Number of reclaimable upstreams in a zone without any load.
constexpr int min_reclaimable_in_zone = 2;
// Number of concurrent requests per engine above which another engine is
// planned. Beyond it the pauses between tokens grow noticeably.
constexpr double target_running_per_engine = 20;
// The same limit as a share of an engine's slots, for engines with few slots.
constexpr double target_slot_share = 0.5;
// Number of queued prompt tokens per engine above which another engine is
// planned: about as many as the target for the first token allows.
constexpr double target_unread_tokens = 5000;

// Plan for one zone.
struct zone_plan {
  int Stable = 0;
  int Reclaimable = 0;
  int Max = 0;            // both kinds together
  bool Exhausted = false; // no reclaimable ones are available
};

// Shortage over all zones of a service.
struct shortage {
  int Needed = 0;  // demand minus the upstreams that exist
  int Missing = 0; // reclaimable ones that are planned but not listed
};

// Returns how many stable upstreams replace missing reclaimable ones in a zone.
// Existing ones stay until the reclaimable ones are listed; in a full zone some
// of them are released to make room. Further ones are ordered only while no
// reclaimable ones are available, in proportion to the zone's share of the
// shortage.
int stableSubstitutes(const zone_plan &Plan, const zone_upstreams &Listed,
                      const shortage &Shortage) {
  int Missing = std::max(0, Plan.Reclaimable - Listed.Reclaimable);
  if (Missing == 0)
    return 0;
  bool Full = Listed.Stable + Listed.Reclaimable >= Plan.Max;
  int Spare =
      std::max(0, Listed.Stable - Plan.Stable) / (Full ? substitute_share : 1);
  int Further = 0;
  if (Plan.Exhausted) {
    int Need = std::max(0, Shortage.Needed) * Missing;
    int Part = (Need + Shortage.Missing - 1) / Shortage.Missing; // rounded up
    Further = std::min(Part, (Plan.Max - Plan.Stable) / substitute_share);
  }
  return std::min(Missing, std::max(Spare, Further));
}

// Evacuated zones are left out.
zone_counts countListed(const service &Service,
                        const upstream_registry &Registry) {
  zone_counts Zones;
  for (const auto &[Name, State] : Registry.all()) {
    const upstream_entry &Entry = State.Entry;
    if (Entry.Service != Service.Name || Registry.isEvacuated(Entry.Zone))
      continue;
    zone_upstreams &Zone = Zones[Entry.Zone];
    if (Registry.isLeaving(Entry))
      continue;
    ++(Entry.Reclaimable ? Zone.Reclaimable : Zone.Stable);
  }
  for (const auto &[Zone, Price] : Service.Orders->ZonePrices)
    if (!Registry.isEvacuated(Zone))
      Zones.try_emplace(Zone);
  return Zones;
}

} // namespace

// Records the upstreams that the operators had provided when this entry
// started. At a cold start they are listed one by one. Reclaimable upstreams
// that appear later were ordered by an entry and do not count.
void capacity_policy::observe(const capacity_input &Input, steady_time Now) {
  for (const service &Service : Input.Config.Services) {
    if (!Service.Orders)
      continue;
    auto [It, First] =
        Discoveries.try_emplace(Service.Name, startup_discovery{Now, {}, Now});
    startup_discovery &Discovery = It->second;
    if (isOver(Discovery, Now))
      continue;
    for (const auto &[Name, State] : Input.Registry.all())
      if (State.Entry.Service == Service.Name &&
          (!State.Entry.Reclaimable || (First && !State.Entry.Draining)))
        if (Discovery.Names.insert(Name).second)
          Discovery.LastNewAt = Now;
  }
}

double capacity_policy::demandOf(const service &Service,
                                 const capacity_input &Input, steady_time Now) {
  double Running = 0;
  double Unread = 0;
  for (const auto &[Name, State] : Input.Registry.all()) {
    if (State.Entry.Service != Service.Name)
      continue;
    upstream_use_sum Use = Input.Load.at(Name);
    Running += Use.Running;
    Unread += static_cast<double>(Use.UnreadTokens);
  }
  int Slots = Service.Engine ? Service.Engine->Slots : 1;
  double Each = std::min(target_running_per_engine, target_slot_share * Slots);
  double Wanted = Running / Each + Unread / target_unread_tokens;
  auto Provided = static_cast<double>(Discoveries[Service.Name].Names.size());
  Wanted = std::max(Wanted, Provided);
  demand &Known = Demands[Service.Name];
  if (Wanted >= Known.Upstreams || Now - Known.At > demand_hold_time)
    Known = {Wanted, Now};
  return Known.Upstreams;
}

std::vector<capacity_target> capacity_policy::plan(const capacity_input &Input,
                                                   steady_time Now) {
  observe(Input, Now);
  std::vector<capacity_target> Due;
  for (const service &Service : Input.Config.Services)
    if (Service.Orders && isOver(Discoveries[Service.Name], Now))
      planService(Service, Input, Now, Due);
  return Due;
}

void capacity_policy::planService(const service &Service,
                                  const capacity_input &Input, steady_time Now,
                                  std::vector<capacity_target> &Due) {
  zone_counts Zones = countListed(Service, Input.Registry);
  double Wanted = demandOf(Service, Input, Now);
  if (Service.Orders->ReclaimablePrice)
    return planBothKinds(Service, Zones, Wanted, Now, Due);
  const order_terms &Terms = *Service.Orders;
  auto ZoneCount = static_cast<double>(std::max<size_t>(1, Zones.size()));
  int Each = static_cast<int>(std::ceil(Wanted / ZoneCount)) + 1;
  for (const auto &[Zone, Listed] : Zones)
    addIfDue(
        {Service.Name, Zone, false, std::clamp(Each, Terms.Min, Terms.Max)},
        Listed.Stable, Now, Due);
}

void capacity_policy::planBothKinds(const service &Service,
                                    const zone_counts &Zones, double Wanted,
                                    steady_time Now,
                                    std::vector<capacity_target> &Due) {
  const order_terms &Terms = *Service.Orders;
  int ZoneCount = std::max<int>(1, static_cast<int>(Zones.size()));
  int Stable = std::clamp(stable_in_zone, Terms.Min, Terms.Max);
  // The remaining zones have to carry the load when one zone loses its
  // reclaimable upstreams.
  double Rest = Wanted - Stable * ZoneCount;
  int Each = static_cast<int>(std::ceil(Rest / std::max(1, ZoneCount - 1)));
  int Reclaimable = std::clamp(std::max(Each, min_reclaimable_in_zone), 0,
                               std::max(0, Terms.Max - Stable));
  shortage Shortage{static_cast<int>(std::ceil(Rest)), 0};
  for (const auto &[Zone, Listed] : Zones) {
    Shortage.Needed -= Listed.Reclaimable;
    Shortage.Missing += std::max(0, Reclaimable - Listed.Reclaimable);
  }
  for (const auto &[Zone, Listed] : Zones) {
    order_key ReclaimableKey{Service.Name, Zone, true};
    if (Listed.Reclaimable >= Reclaimable)
      Exhausted.erase(ReclaimableKey);
    zone_plan Plan{Stable, Reclaimable, Terms.Max,
                   Exhausted.contains(ReclaimableKey)};
    addIfDue({Service.Name, Zone, true, Reclaimable}, Listed.Reclaimable, Now,
             Due);
    addIfDue({Service.Name, Zone, false,
              Stable + stableSubstitutes(Plan, Listed, Shortage)},
             Listed.Stable, Now, Due);
  }
}

void capacity_policy::addIfDue(capacity_target Target, int Listed,
                               steady_time Now,
                               std::vector<capacity_target> &Due) {
  order_state &State =
      Orders[{Target.Service, Target.Zone, Target.Reclaimable}];
  bool Met = State.Ordered == Target.Count && Listed >= Target.Count;
  bool Rises = Target.Count > State.Sent;
  if (Met || (Now < State.NextOrder && !Rises))
    return;
  State.Sent = Target.Count;
  State.NextOrder = Now + order_retry_period;
  Due.push_back(std::move(Target));
}

void capacity_policy::onAnswered(const capacity_answered &Answer,
                                 steady_time Now) {
  order_key OrderKey{Answer.Service, Answer.Zone, Answer.Reclaimable};
  order_state &State = Orders[OrderKey];
  if (Answer.Accepted) {
    State.Ordered = Answer.Count;
    Exhausted.erase(OrderKey);
  }
  if (!Answer.NoneAvailable)
    return;
  State.NextOrder = Now + order_retry_period;
  if (Answer.Reclaimable)
    Exhausted.insert(OrderKey);
}

} // namespace monsoonreel
