// How many upstreams of each kind a service should have in each zone.
//
//   capacity_policy Policy;
//   Policy.observe(Input, Now);        // always, also while not in charge
//   for (const capacity_target &T : Policy.plan(Input, Now))
//     order(T);                        // those that differ from the last order
//   Policy.onAnswered(Answer, Now);
//
// Load patterns that it answers:
//
// - Steady load well below what the upstreams can carry. Stable upstreams cost
//   several times what reclaimable ones do, so each zone keeps few of them.
// - All reclaimable upstreams of a zone leave at once. What is left in the
//   other zones has to carry the load until new ones have booted, so the total
//   is chosen with one zone's reclaimable upstreams missing.
// - Reclaimable upstreams leave and no new ones are to be had for a while.
//   Stable ones take the place of those that the demand needs, until the
//   reclaimable ones are listed again.
// - Bursts. The plan follows a rise at once and a fall only slowly, because an
//   upstream takes seconds to boot and begins with nothing cached. It never
//   falls below what was provided at first, of which most is exchanged for
//   reclaimable ones. Stable ones are given back one by one as reclaimable
//   ones are listed.
// - A cold start. Upstreams are listed over some seconds; until then nothing is
//   ordered that might be fewer than there are.

#ifndef ROUTING_CAPACITY_POLICY_H
#define ROUTING_CAPACITY_POLICY_H

#include <map>
#include <set>
#include <vector>

#include "routing/routing_event.h"
#include "routing/site_config.h"
#include "routing/upstream_load.h"
#include "routing/upstream_registry.h"

namespace monsoonreel {

// Between two orders for the same kind, service and zone that was not met:
// half of a usual boot, so that reclaimable upstreams are found soon after they
// are to be had again.
constexpr duration order_retry_period = std::chrono::seconds(2);
// A lower demand counts after it has lasted for so long.
constexpr duration demand_memory = std::chrono::seconds(20);
// Within it, all upstreams of a cold start have been listed, also by a slow
// store.
constexpr duration survey_time = std::chrono::seconds(6);
// So many reports of an upstream in a row can't all be late: when no other one
// has been listed meanwhile, all that run are.
constexpr int survey_reports = 2;

struct capacity_input {
  const site_config &Config;
  const upstream_registry &Registry;
  const upstream_load &Load;
};

struct capacity_target {
  pool_name Service;
  zone_name Zone;
  bool Reclaimable = false;
  int Count = 0;
};

// Upstreams of one service in a zone that do not leave.
struct zone_upstreams {
  int Stable = 0;
  int Reclaimable = 0;
};
using zone_counts = std::map<zone_name, zone_upstreams>;

class capacity_policy {
public:
  // UpstreamReport: between two reports of an upstream to the platform.
  explicit capacity_policy(
      duration UpstreamReport = std::chrono::milliseconds(1200))
      : UpstreamReport(UpstreamReport) {}

  // Takes down which upstreams are listed first, so that an entry that takes
  // charge later knows them.
  void observe(const capacity_input &Input, steady_time Now);
  // The orders that are due.
  std::vector<capacity_target> plan(const capacity_input &Input,
                                    steady_time Now);
  void onAnswered(const capacity_answered &Answer, steady_time Now);

private:
  struct subject {
    pool_name Service;
    zone_name Zone;
    bool Reclaimable = false;
    auto operator<=>(const subject &) const = default;
  };
  struct order_state {
    int Sent = -1;    // the last order's count
    int Ordered = -1; // accepted by the platform
    steady_time NextOrder = steady_time::min();
  };
  struct survey {
    steady_time Begun;
    std::set<upstream_name> Names;
    steady_time LastNewAt; // of Names
  };
  bool isOver(const survey &Survey, steady_time Now) const {
    return Now - Survey.Begun >= survey_time ||
           (!Survey.Names.empty() &&
            Now - Survey.LastNewAt > survey_reports * UpstreamReport);
  }
  struct demand {
    double Upstreams = 0;
    steady_time At = steady_time::min();
  };

  void planService(const service &Service, const capacity_input &Input,
                   steady_time Now, std::vector<capacity_target> &Due);
  void planBothKinds(const service &Service, const zone_counts &Zones,
                     double Wanted, steady_time Now,
                     std::vector<capacity_target> &Due);
  double demandOf(const service &Service, const capacity_input &Input,
                  steady_time Now);
  void addIfDue(capacity_target Target, int Listed, steady_time Now,
                std::vector<capacity_target> &Due);

  duration UpstreamReport;
  std::map<subject, order_state> Orders;
  std::set<subject> Exhausted; // reclaimable ones that were not to be had
  std::map<pool_name, demand> Demands;
  std::map<pool_name, survey> Surveys;
};

} // namespace monsoonreel

#endif // ROUTING_CAPACITY_POLICY_H
