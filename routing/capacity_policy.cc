#include "routing/capacity_policy.h"

#include <algorithm>
#include <cmath>

namespace monsoonreel {

namespace {

// Stable upstreams of a zone, where reclaimable ones are to be had.
constexpr int stable_in_zone = 1;
// One in so many of a zone's upstreams may be a stand-in: both kinds share the
// zone's maximum, and a full zone has no room for reclaimable ones.
constexpr int stand_in_share = 2;
// Reclaimable upstreams of a zone without any load.
constexpr int least_reclaimable = 2;
// Requests under way at an engine from which another one is wanted: beyond it
// the pauses between tokens grow noticeably.
constexpr double wanted_running = 20;
// The same as a part of an engine's slots, where these are few.
constexpr double wanted_slot_use = 0.5;
// Prompt tokens that wait to be read at an engine from which another one is
// wanted: about what a first token's target leaves room for.
constexpr double wanted_unread_tokens = 5000;

// What is planned for one zone.
struct zone_plan {
  int Stable = 0;
  int Reclaimable = 0;
  int Max = 0;            // of both kinds together
  bool Exhausted = false; // no reclaimable ones are to be had at the moment
};

// Over all zones of a service.
struct shortage {
  int Needed = 0;  // by the demand, beyond the upstreams that are there
  int Missing = 0; // reclaimable ones that are planned and not there
};

// Stable upstreams that stand in for reclaimable ones of a zone. Those that are
// there stay until the reclaimable ones are listed; in a full zone a part of
// them makes room for these. Further ones are ordered only while no reclaimable
// ones are to be had, as many as the zone's part of the need is.
int standIns(const zone_plan &Plan, const zone_upstreams &Listed,
             const shortage &Shortage) {
  int Missing = std::max(0, Plan.Reclaimable - Listed.Reclaimable);
  if (Missing == 0)
    return 0;
  bool Full = Listed.Stable + Listed.Reclaimable >= Plan.Max;
  int Spare =
      std::max(0, Listed.Stable - Plan.Stable) / (Full ? stand_in_share : 1);
  int Further = 0;
  if (Plan.Exhausted) {
    int Need = std::max(0, Shortage.Needed) * Missing;
    int Part = (Need + Shortage.Missing - 1) / Shortage.Missing; // rounded up
    Further = std::min(Part, (Plan.Max - Plan.Stable) / stand_in_share);
  }
  return std::min(Missing, std::max(Spare, Further));
}

zone_counts countListed(const service &Service,
                        const upstream_registry &Registry) {
  zone_counts Zones;
  for (const auto &[Name, State] : Registry.all()) {
    const upstream_entry &Entry = State.Entry;
    if (Entry.Service != Service.Name)
      continue;
    zone_upstreams &Zone = Zones[Entry.Zone];
    if (Registry.isLeaving(Entry))
      continue;
    ++(Entry.Reclaimable ? Zone.Reclaimable : Zone.Stable);
  }
  for (const auto &[Zone, Price] : Service.Orders->ZonePrices)
    Zones.try_emplace(Zone);
  return Zones;
}

} // namespace

// Upstreams that the operators had provided when this entry started. At a cold
// start they are listed one by one. Reclaimable ones that come meanwhile have
// been ordered.
void capacity_policy::observe(const capacity_input &Input, steady_time Now) {
  for (const service &Service : Input.Config.Services) {
    if (!Service.Orders)
      continue;
    auto [It, First] = Surveys.try_emplace(Service.Name, survey{Now, {}, Now});
    survey &Survey = It->second;
    if (isOver(Survey, Now))
      continue;
    for (const auto &[Name, State] : Input.Registry.all())
      if (State.Entry.Service == Service.Name &&
          (!State.Entry.Reclaimable || (First && !State.Entry.Draining)))
        if (Survey.Names.insert(Name).second)
          Survey.LastNewAt = Now;
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
  double Each = std::min(wanted_running, wanted_slot_use * Slots);
  double Wanted = Running / Each + Unread / wanted_unread_tokens;
  auto Provided = static_cast<double>(Surveys[Service.Name].Names.size());
  Wanted = std::max(Wanted, Provided);
  demand &Known = Demands[Service.Name];
  if (Wanted >= Known.Upstreams || Now - Known.At > demand_memory)
    Known = {Wanted, Now};
  return Known.Upstreams;
}

std::vector<capacity_target> capacity_policy::plan(const capacity_input &Input,
                                                   steady_time Now) {
  observe(Input, Now);
  std::vector<capacity_target> Due;
  for (const service &Service : Input.Config.Services)
    if (Service.Orders && isOver(Surveys[Service.Name], Now))
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
  // With the reclaimable upstreams of one zone missing, the rest carries it.
  double Rest = Wanted - Stable * ZoneCount;
  int Each = static_cast<int>(std::ceil(Rest / std::max(1, ZoneCount - 1)));
  int Reclaimable = std::clamp(std::max(Each, least_reclaimable), 0,
                               std::max(0, Terms.Max - Stable));
  shortage Shortage{static_cast<int>(std::ceil(Rest)), 0};
  for (const auto &[Zone, Listed] : Zones) {
    Shortage.Needed -= Listed.Reclaimable;
    Shortage.Missing += std::max(0, Reclaimable - Listed.Reclaimable);
  }
  for (const auto &[Zone, Listed] : Zones) {
    subject Wished{Service.Name, Zone, true};
    if (Listed.Reclaimable >= Reclaimable)
      Exhausted.erase(Wished);
    zone_plan Plan{Stable, Reclaimable, Terms.Max, Exhausted.contains(Wished)};
    addIfDue({Service.Name, Zone, true, Reclaimable}, Listed.Reclaimable, Now,
             Due);
    addIfDue(
        {Service.Name, Zone, false, Stable + standIns(Plan, Listed, Shortage)},
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
  subject Subject{Answer.Service, Answer.Zone, Answer.Reclaimable};
  order_state &State = Orders[Subject];
  if (Answer.Accepted) {
    State.Ordered = Answer.Count;
    Exhausted.erase(Subject);
  }
  if (!Answer.NoneAvailable)
    return;
  State.NextOrder = Now + order_retry_period;
  if (Answer.Reclaimable)
    Exhausted.insert(Subject);
}

} // namespace monsoonreel
