// Decides when to order an upstream.
//
//   upstream_replacer Replacer(Self.Zone);
//   for (order_request &Request : Replacer.onVmList(List, Config))
//     Orders.request(std::move(Request));
//
// One start is ordered for each cheap upstream of the zone that the platform's
// list calls leaving. The order's id names the VM that leaves, so that every
// steward that sees it asks for the same order, and the platform carries it
// out once.

#ifndef MONSOONREEL_UPSTREAM_REPLACER_H
#define MONSOONREEL_UPSTREAM_REPLACER_H

#include <vector>

#include <absl/container/btree_set.h>

#include "monsoonreel/configuration.h"
#include "monsoonreel/event.h"
#include "monsoonreel/order_desk.h"

namespace monsoonreel {

class upstream_replacer {
public:
  explicit upstream_replacer(zone_name Zone);

  // The orders that became due with this list.
  std::vector<order_request> onVmList(const vm_list_read &List,
                                      const configuration &Config);

private:
  zone_name Zone;
  // VMs in the list that were seen leaving before.
  absl::btree_set<node_name> Leaving;
};

} // namespace monsoonreel

#endif // MONSOONREEL_UPSTREAM_REPLACER_H
