#include "routing/region_rules.h"

#include <algorithm>

namespace monsoonreel {

namespace {

bool permits(const std::optional<region_list> &List,
             const region_name &Region) {
  return !List || std::find(List->begin(), List->end(), Region) != List->end();
}

} // namespace

region_rule::region_rule(const zone_regions &Regions,
                         const std::optional<region_list> &OfRoute,
                         const std::optional<region_list> &OfOrganisation) {
  if (!OfRoute && !OfOrganisation)
    return;
  Allowed.emplace();
  for (const auto &[Zone, Region] : Regions)
    if (permits(OfRoute, Region) && permits(OfOrganisation, Region))
      Allowed->insert(Zone);
}

} // namespace monsoonreel
