// Rendezvous hashing: selects the member that is responsible for a key.
//
//   auto Order = rendezvousOrder(
//       "pool/chat-small", Members.alive(wire::member_role::Entry, Zone));
//   const wire::member &Owner = Order.front(); // unless Order is empty
//
// All nodes with the same list of members compute the same order. When a member
// leaves, only its keys move, each to the next member in the key's order.

#ifndef MONSOONREEL_RENDEZVOUS_H
#define MONSOONREEL_RENDEZVOUS_H

#include <cstdint>
#include <string_view>
#include <vector>

#include "monsoonreel/wire.h"

namespace monsoonreel {

// The weight of the member with this name for Key. It depends only on these
// two, so a restarted member keeps its position.
uint64_t rendezvousWeight(std::string_view Key, std::string_view Name);

// Members in descending order of their weight for Key, then by name.
std::vector<wire::member> rendezvousOrder(std::string_view Key,
                                          std::vector<wire::member> Members);

} // namespace monsoonreel

#endif // MONSOONREEL_RENDEZVOUS_H
