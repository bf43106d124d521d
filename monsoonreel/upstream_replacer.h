// Decides when to order a replacement for an upstream.
//
//   upstream_replacer Replacer(Self.Zone);
//   for (order_request &Request : Replacer.onVmList(List, Config))
//     Orders.request(std::move(Request));
//
// Orders one start for each cheap (reclaimable) upstream of the zone that the
// platform's list marks as leaving. The order's id contains the name of the
// leaving VM, so that all stewards request the same order and the platform
// carries it out once.

#ifndef MONSOONREEL_UPSTREAM_REPLACER_H
#define MONSOONREEL_UPSTREAM_REPLACER_H

#include <vector>

#include <absl/container/btree_set.h>

#include "monsoonreel/configuration.h"
#include "monsoonreel/event.h"
#include "monsoonreel/order_sender.h"

namespace monsoonreel {

class upstream_replacer {
public:
  explicit upstream_replacer(zone_name Zone);

  // Returns one order for each VM that List marks as leaving and the previous
  // list did not.
  std::vector<order_request> onVmList(const vm_list_read &List,
                                      const configuration &Config);

private:
  zone_name Zone;
  // VMs that the previous list marked as leaving.
  absl::btree_set<node_name> Leaving;
};

} // namespace monsoonreel

#endif // MONSOONREEL_UPSTREAM_REPLACER_H
