// Zones whose upstreams must not receive requests, by order of the operator.
//
//   zone_evacuations Evacuations("evacuate/", LostOrderGrace);
//   if (auto Change = Evacuations.onChange(FeedChange, Now)) ...
//   for (const evacuation_change &Change : Evacuations.onTick(Now, Fails)) ...
//   Registry.setEvacuated(Evacuations.zones());
//
// An order is a record of the configuration feed whose key is the prefix and
// the name of the zone; its value does not matter. A removal that was read as a
// record takes effect at once. An order that is only missing after an outage or
// a restore of the store may have been lost with the backup. It is unconfirmed
// then and stays in force for LostOrderGrace, so that the operator can write it
// again. The grace period starts again while the store cannot be reached.
//
// An entry that starts meanwhile cannot read such an order. The other entries
// tell it their unconfirmed orders.

#ifndef ROUTING_ZONE_EVACUATIONS_H
#define ROUTING_ZONE_EVACUATIONS_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "routing/keyed_feed.h"

namespace monsoonreel {

struct evacuation_change {
  zone_name Zone;
  bool IsEvacuated = false;
  const char *Reason = ""; // for logs
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
  std::optional<evacuation_change> onUnconfirmed(const zone_name &Zone,
                                                 steady_time Now);
  // Returns the zones whose unconfirmed orders have expired.
  std::vector<evacuation_change> onTick(steady_time Now, bool StoreFailing);

  std::set<zone_name> zones() const;
  std::vector<zone_name> unconfirmed() const;

private:
  std::string KeyPrefix; // empty: there are no orders
  duration LostOrderGrace;
  // The time is that at which the order became unconfirmed; unset while it is
  // confirmed.
  std::map<zone_name, std::optional<steady_time>> Orders;
};

} // namespace monsoonreel

#endif // ROUTING_ZONE_EVACUATIONS_H
