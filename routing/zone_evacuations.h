// Zones whose upstreams must not receive requests, by order of the operator.
//
//   zone_evacuations Evacuations("evacuate/", LostOrderGrace);
//   if (auto Change = Evacuations.onChange(FeedChange, Now)) ...
//   for (const evacuation_change &Change :
//        Evacuations.onTick(Now, StoreFailing, FeedAge)) ...
//   Registry.setEvacuated(Evacuations.zones());
//
// An order is a record of the configuration feed whose key is the prefix and
// the name of the zone; its value does not matter. A removal that was read as a
// record takes effect at once. An order that is only missing after an outage or
// a restore of the store may have been lost with the backup. It is unconfirmed
// then and stays in force for LostOrderGrace, so that the operator can write it
// again. The grace period starts again while the store cannot be reached.
//
// An entry that missed such an order cannot read it. The other entries tell it
// their unconfirmed orders, with the age of each: the time since the order
// became unconfirmed. The following holds:
//
// - The age never starts again, neither when an order is passed on nor while
//   the store cannot be reached. Each entry applies its own outages to its own
//   grace period. An entry that has reached the store for a whole grace period
//   therefore rejects an older order, also from an entry that has not.
// - An entry that has run for less than the grace period does not know whether
//   the store could be reached before. It holds an older order only as long as
//   another entry tells it, and does not pass it on. Only entries whose grace
//   period started again during an outage tell older orders.
// - An order that was removed or has expired here is not taken up again, unless
//   the store has been restored since and the order is younger than its end.
//   Ends are forgotten when the age alone rejects such orders.
// - Messages of older builds contain no age. Only an entry that has just
// started
//   takes them up, with age zero: an older build tells an order for as long as
//   the store refuses it, and each message would start the grace period again.
// - An entry that was frozen starts its grace period again, because it may not
//   have read yet that the order was written again.

#ifndef ROUTING_ZONE_EVACUATIONS_H
#define ROUTING_ZONE_EVACUATIONS_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "routing/keyed_feed.h"

namespace monsoonreel {

// How long a new entry holds an order that is older than the grace period after
// it was last told: several reports, so that lost ones do not matter.
constexpr duration told_order_time = std::chrono::seconds(2);
// Maximum number of zones whose ended orders are remembered, and of zones whose
// orders are taken up from other entries.
constexpr size_t max_ended_orders = 64;
constexpr size_t max_told_orders = 64;
// A longer age, which only a damaged message has, is taken as this one.
constexpr duration longest_told_age = std::chrono::hours(1);

struct evacuation_change {
  zone_name Zone;
  bool IsEvacuated = false;
  const char *Reason = ""; // for logs
};

struct unconfirmed_order {
  zone_name Zone;
  // Since it became unconfirmed; unset in messages of older builds.
  std::optional<duration> Age;
};

class zone_evacuations {
public:
  zone_evacuations(std::string KeyPrefix, duration LostOrderGrace)
      : KeyPrefix(std::move(KeyPrefix)), LostOrderGrace(LostOrderGrace) {}

  // Returns whether the key is that of an order.
  bool isOrder(const std::string &Key) const;
  // Handles a change of an order. Returns what it changes for a zone, if
  // anything.
  std::optional<evacuation_change> onChange(const feed_change &Change,
                                            steady_time Now);
  // Handles an unconfirmed order of another entry.
  std::optional<evacuation_change> onUnconfirmed(const unconfirmed_order &Told,
                                                 steady_time Now);
  // The store was restored from a backup.
  void onRestore(steady_time Now) { RestoredAt = Now; }
  // Returns the zones whose unconfirmed orders have expired. FeedAge is the
  // time since the configuration feed was last known to be up to date.
  std::vector<evacuation_change> onTick(steady_time Now, bool StoreFailing,
                                        duration FeedAge);

  std::set<zone_name> zones() const;
  // Returns the orders that other entries have to be told.
  std::vector<unconfirmed_order> unconfirmed(steady_time Now) const;

private:
  struct order {
    // Time at which the order became unconfirmed; unset while it is confirmed.
    std::optional<steady_time> Since;
    // Until when the order is held although it is older than the grace period.
    steady_time HeldUntil = steady_time::min();
  };

  bool isWithinGrace(steady_time Since, steady_time Now) const {
    return Now - Since < LostOrderGrace;
  }
  // Returns whether this entry has run for less than the grace period.
  bool isNew(steady_time Now) const {
    return !RunningSince || isWithinGrace(*RunningSince, Now);
  }
  bool isEnded(const zone_name &Zone, steady_time Since) const;
  void rememberEnd(const zone_name &Zone, steady_time Now);

  std::string KeyPrefix; // empty: there are no orders
  duration LostOrderGrace;
  std::map<zone_name, order> Orders;
  std::map<zone_name, steady_time> Ends; // of orders that are not in force
  std::optional<steady_time> RestoredAt;
  std::optional<steady_time> UnreachableAt; // last tick during an outage
  std::optional<steady_time> RunningSince;  // start, or end of a pause
  std::optional<steady_time> LastTick;
  // As of the last tick, the store has been reached for a whole grace period.
  bool ReachedForGrace = false;
  // Orders that became unconfirmed by then have expired: the store was reached
  // for a whole grace period after it.
  steady_time ExpiredBy = steady_time::min();
};

} // namespace monsoonreel

#endif // ROUTING_ZONE_EVACUATIONS_H
