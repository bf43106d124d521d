// Decides how many stable and how many reclaimable upstreams a service should
// have in each zone.
//
//   capacity_policy Policy;
//   Policy.observe(Input, Now);        // always, even without the lease
//   for (const capacity_target &T : Policy.plan(Input, Now))
//     order(T);                        // each order that is due
//   Policy.onAnswered(Answer, Now);
//
// Load patterns that it handles:
//
// - Steady load well below what the upstreams can carry. Stable upstreams cost
//   several times what reclaimable ones do, so each zone keeps few of them.
// - All reclaimable upstreams of a zone leave at once. The remaining upstreams
//   have to carry the load until replacements have booted, so the total is
//   sized for the loss of one zone's reclaimable upstreams.
// - Reclaimable upstreams leave and the platform cannot provide new ones for a
//   while. Stable upstreams replace as many of them as the demand needs until
//   reclaimable ones are listed again.
// - Bursts. The plan follows an increase at once and a decrease only slowly,
//   because an upstream takes seconds to boot and starts with an empty cache.
//   The plan never falls below the number of upstreams that were provided
//   initially. Most of these are replaced by reclaimable ones; stable upstreams
//   are released one by one as reclaimable ones are listed.
// - An evacuated zone. The demand is divided among the other zones at once, and
//   orders for the evacuated zone are left unchanged.
// - A cold start. Upstreams are listed over several seconds. Nothing is ordered
//   during that time, because an order could ask for fewer upstreams than
//   exist.

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

// Interval between two orders for the same kind, service and zone while the
// order is not fulfilled. It is half of a typical boot time, so that
// reclaimable upstreams are obtained soon after they become available again.
constexpr duration order_retry_period = std::chrono::seconds(2);
// A lower demand takes effect after it has lasted this long.
constexpr duration demand_hold_time = std::chrono::seconds(20);
// All upstreams of a cold start have been listed within this time, even if the
// store is slow.
constexpr duration upstream_discovery_time = std::chrono::seconds(6);
// When no further upstream has been listed for this many report intervals, all
// running upstreams are assumed to be listed: this many consecutive reports of
// one upstream are not all late.
constexpr int discovery_reports = 2;

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

// Number of upstreams of one service in a zone that are not leaving.
struct zone_upstreams {
  int Stable = 0;
  int Reclaimable = 0;
};
using zone_counts = std::map<zone_name, zone_upstreams>;

class capacity_policy {
public:
  // UpstreamReport: interval at which an upstream reports to the platform.
  explicit capacity_policy(
      duration UpstreamReport = std::chrono::milliseconds(1200))
      : UpstreamReport(UpstreamReport) {}

  // Records which upstreams are listed during startup, so that an entry that
  // acquires the lease later knows them.
  void observe(const capacity_input &Input, steady_time Now);
  // Returns the orders that are due.
  std::vector<capacity_target> plan(const capacity_input &Input,
                                    steady_time Now);
  void onAnswered(const capacity_answered &Answer, steady_time Now);

private:
  struct order_key {
    pool_name Service;
    zone_name Zone;
    bool Reclaimable = false;
    auto operator<=>(const order_key &) const = default;
  };
  struct order_state {
    int Sent = -1;    // count of the last order; -1 if none
    int Ordered = -1; // last count that the platform accepted
    steady_time NextOrder = steady_time::min();
  };
  struct startup_discovery {
    steady_time BegunAt;
    std::set<upstream_name> Names;
    steady_time LastNewAt; // when Names last grew
  };
  bool isOver(const startup_discovery &Discovery, steady_time Now) const {
    return Now - Discovery.BegunAt >= upstream_discovery_time ||
           (!Discovery.Names.empty() &&
            Now - Discovery.LastNewAt > discovery_reports * UpstreamReport);
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
  std::map<order_key, order_state> Orders;
  std::set<order_key> Exhausted; // reclaimable ones that are unavailable
  std::map<pool_name, demand> Demands;
  std::map<pool_name, startup_discovery> Discoveries;
};

} // namespace monsoonreel

#endif // ROUTING_CAPACITY_POLICY_H
