// Selects the stewards that act as claim coordinators.
//
//   // In a steward:
//   Follower.setFollowing(isClaimCoordinator(Members));
//   // In an entry:
//   for (const wire::member &Coordinator : coordinatorOrder(Members))
//     ask(Coordinator);
//
// Each zone has up to `claim_coordinators_per_zone` coordinators, chosen by
// rendezvous hashing over its live stewards. Their number is kept small so that
// batches are large: the log accepts only some hundred appends per second in
// total.

#ifndef MONSOONREEL_CLAIM_ROUTING_H
#define MONSOONREEL_CLAIM_ROUTING_H

#include <cstddef>
#include <vector>

#include "monsoonreel/membership.h"
#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

constexpr size_t claim_coordinators_per_zone = 2;

// The coordinators of a zone, in the order of preference.
std::vector<wire::member> claimCoordinators(const membership &Members,
                                            const zone_name &Zone);

// Whether this steward is a coordinator of its zone.
bool isClaimCoordinator(const membership &Members);

// This node's rank among the coordinators of all zones, starting at 0. For a
// node that is not a coordinator, the number of coordinators.
size_t coordinatorRank(const membership &Members);

// The stewards in the order in which an entry asks them to claim a key: first
// the coordinators of its zone and one further steward of that zone, with those
// on the entry's own VM at the front, then one coordinator of each other zone.
std::vector<wire::member> coordinatorOrder(const membership &Members);

} // namespace monsoonreel

#endif // MONSOONREEL_CLAIM_ROUTING_H
