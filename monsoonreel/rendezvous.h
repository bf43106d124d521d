// Rendezvous hashing: which of the members is responsible for a key.
//
//   auto Order = rendezvousOrder("pool/chat-small",
//                                Members.alive(wire::member_role::Entry,
//                                Zone));
//   const wire::member &Owner = Order.front(); // when there is any
//
// Every node that knows the same members finds the same order. When a member
// leaves, only its keys move, each to the next member of its order.

#ifndef MONSOONREEL_RENDEZVOUS_H
#define MONSOONREEL_RENDEZVOUS_H

#include <cstdint>
#include <string_view>
#include <vector>

#include "monsoonreel/wire.h"

namespace monsoonreel {

// The weight of the member with this name for Key. It depends on the two alone,
// so a restarted member keeps its place.
uint64_t rendezvousWeight(std::string_view Key, std::string_view Name);

// Members in falling order of their weight for Key.
std::vector<wire::member> rendezvousOrder(std::string_view Key,
                                          std::vector<wire::member> Members);

} // namespace monsoonreel

#endif // MONSOONREEL_RENDEZVOUS_H
