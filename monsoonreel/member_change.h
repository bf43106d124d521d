// Encodes a change of a member as one number, for receivers that already know
// the member.
//
//   Beat.Changes.push_back(encodeChange(Member));
//   ...
//   // Member is the one for which runHashOf(Member) == changedRunHash(Change).
//   wire::member Changed = applyChange(Member, Change);
//
// A complete member takes about 50 bytes in a message, because of its name,
// zone and address. While its process runs, only its state and refutation
// number change. The number contains, from the lowest bit: a 32-bit hash of the
// name and incarnation, 3 bits for the state, and the refutation number. In
// Thrift's compact protocol it takes 6 bytes while the refutation number is
// below 64.

#ifndef MONSOONREEL_MEMBER_CHANGE_H
#define MONSOONREEL_MEMBER_CHANGE_H

#include <cstdint>

#include "monsoonreel/wire.h"

namespace monsoonreel {

// A hash of the member's name and of the incarnation of its current process.
uint32_t runHashOf(const wire::member &Member);

int64_t encodeChange(const wire::member &Member);
uint32_t changedRunHash(int64_t Change);
// Returns Member with Change applied. A number from a peer may contain an
// invalid state, so the caller checks the result.
wire::member applyChange(wire::member Member, int64_t Change);

} // namespace monsoonreel

#endif // MONSOONREEL_MEMBER_CHANGE_H
