// A change of a member that the receiver knows, in one number.
//
//   Beat.Changes.push_back(encodeChange(Member));
//   ...
//   // Member is the one for which lifeOf(Member) == changedLife(Change).
//   wire::member Changed = applyChange(Member, Change);
//
// A whole member takes about 50 bytes in a message, because of its name, zone
// and address. While its process runs, only its state and refutation number
// change. The number holds, from its lowest bit on: 32 bits of hash of the name
// and incarnation, 3 bits of state, and the refutation number. In the compact
// protocol that is 6 bytes for all refutation numbers below 64.

#ifndef MONSOONREEL_MEMBER_CHANGE_H
#define MONSOONREEL_MEMBER_CHANGE_H

#include <cstdint>

#include "monsoonreel/wire.h"

namespace monsoonreel {

// Names a member and its present process.
uint32_t lifeOf(const wire::member &Member);

int64_t encodeChange(const wire::member &Member);
uint32_t changedLife(int64_t Change);
// Member as it is after Change. A number of a peer may bring any state.
wire::member applyChange(wire::member Member, int64_t Change);

} // namespace monsoonreel

#endif // MONSOONREEL_MEMBER_CHANGE_H
