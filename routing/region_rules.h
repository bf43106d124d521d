// Regions in which a request may be served.
//
//   region_rule Rule(Regions, Route.AllowedRegions, Terms.AllowedRegions);
//   if (Rule.allows(Entry.Zone)) ...
//
// A route and an organisation can each list the regions that their requests may
// use; where both do, only the regions in both lists are allowed. A zone
// without a region is in no allowed region. An empty list allows no region.

#ifndef ROUTING_REGION_RULES_H
#define ROUTING_REGION_RULES_H

#include <map>
#include <optional>
#include <set>

#include "routing/site_config.h"

namespace monsoonreel {

using zone_regions = std::map<zone_name, region_name>;

class region_rule {
public:
  // Allows every zone.
  region_rule() = default;
  region_rule(const zone_regions &Regions,
              const std::optional<region_list> &OfRoute,
              const std::optional<region_list> &OfOrganisation);

  bool isBinding() const { return Allowed.has_value(); }
  bool allows(const zone_name &Zone) const {
    return !Allowed || Allowed->contains(Zone);
  }

private:
  std::optional<std::set<zone_name>> Allowed; // unset: every zone
};

} // namespace monsoonreel

#endif // ROUTING_REGION_RULES_H
