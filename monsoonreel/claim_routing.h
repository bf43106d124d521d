// Which stewards take claims.
//
//   Follower.setFollowing(isClaimDesk(Members));           // in a steward
//   for (const wire::member &Desk : deskOrder(Members))    // in an entry
//     ask(Desk);
//
// Each zone has `claim_desks_per_zone` desks, chosen by rendezvous hashing over
// its live stewards. Fewer appenders make larger batches: the log takes some
// hundred appends a second in all.

#ifndef MONSOONREEL_CLAIM_ROUTING_H
#define MONSOONREEL_CLAIM_ROUTING_H

#include <cstddef>
#include <vector>

#include "monsoonreel/membership.h"
#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

constexpr size_t claim_desks_per_zone = 2;

// The desks of a zone, the first one first.
std::vector<wire::member> claimDesks(const membership &Members,
                                     const zone_name &Zone);

// Whether this node, a steward, is a desk of its zone.
bool isClaimDesk(const membership &Members);

// This node's place among the desks of all zones; 0 is the first. Equal to
// their number for a node that is no desk.
size_t deskRank(const membership &Members);

// The desks in the order in which an entry asks them: the one on its own VM,
// those of its zone, another steward of its zone, and one of each other zone.
std::vector<wire::member> deskOrder(const membership &Members);

} // namespace monsoonreel

#endif // MONSOONREEL_CLAIM_ROUTING_H
