#include "monsoonreel/claim_routing.h"

#include <algorithm>
#include <set>

#include "monsoonreel/host.h"
#include "monsoonreel/rendezvous.h"

namespace monsoonreel {

namespace {

std::set<std::string> zonesOf(const std::vector<wire::member> &Members) {
  std::set<std::string> Zones;
  for (const wire::member &Member : Members)
    Zones.insert(Member.Zone);
  return Zones;
}

// The live stewards of a zone in the order in which they are chosen as claim
// coordinators.
std::vector<wire::member> stewardOrder(const membership &Members,
                                       const zone_name &Zone) {
  return rendezvousOrder("claims",
                         Members.alive(wire::member_role::Steward, Zone));
}

} // namespace

std::vector<wire::member> claimCoordinators(const membership &Members,
                                            const zone_name &Zone) {
  std::vector<wire::member> Coordinators = stewardOrder(Members, Zone);
  if (Coordinators.size() > claim_coordinators_per_zone)
    Coordinators.resize(claim_coordinators_per_zone);
  return Coordinators;
}

bool isClaimCoordinator(const membership &Members) {
  const wire::member &Self = Members.self();
  std::vector<wire::member> Coordinators =
      claimCoordinators(Members, zone_name(Self.Zone));
  return std::any_of(Coordinators.begin(), Coordinators.end(),
                     [&](const wire::member &Coordinator) {
                       return Coordinator.Name == Self.Name;
                     });
}

size_t coordinatorRank(const membership &Members) {
  std::vector<wire::member> All;
  for (const std::string &Zone :
       zonesOf(Members.alive(wire::member_role::Steward)))
    for (wire::member &Coordinator :
         claimCoordinators(Members, zone_name(Zone)))
      All.push_back(std::move(Coordinator));
  All = rendezvousOrder("claims-rank", std::move(All));
  auto Own = std::find_if(All.begin(), All.end(),
                          [&](const wire::member &Coordinator) {
                            return Coordinator.Name == Members.self().Name;
                          });
  return static_cast<size_t>(Own - All.begin());
}

std::vector<wire::member> coordinatorOrder(const membership &Members) {
  const wire::member &Self = Members.self();
  std::vector<wire::member> Order = stewardOrder(Members, zone_name(Self.Zone));
  if (Order.size() > claim_coordinators_per_zone + 1)
    Order.resize(claim_coordinators_per_zone + 1);
  std::stable_partition(Order.begin(), Order.end(),
                        [&](const wire::member &Coordinator) {
                          return hostOf(address(Coordinator.Address)) ==
                                 hostOf(address(Self.Address));
                        });
  for (const std::string &Zone :
       zonesOf(Members.alive(wire::member_role::Steward))) {
    if (Zone == Self.Zone)
      continue;
    std::vector<wire::member> Coordinators =
        claimCoordinators(Members, zone_name(Zone));
    if (!Coordinators.empty())
      Order.push_back(std::move(Coordinators.front()));
  }
  return Order;
}

} // namespace monsoonreel
