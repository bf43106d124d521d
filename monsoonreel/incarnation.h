// Creates the number that identifies one run of a process.
//
//   incarnation Own = makeIncarnation(node_name("entry-3"), Wall);
//
// The log identifies writers and sources of usage by this number alone, so it
// must be unique among all processes of a site, even if the whole site is
// started at once. It consists of the start time followed by some bits of the
// name's hash. Two processes get the same number only if they start in the same
// microsecond and these bits are equal, which holds for one pair of names in
// 4,096. For a given name the number increases with every start.

#ifndef MONSOONREEL_INCARNATION_H
#define MONSOONREEL_INCARNATION_H

#include <cstdint>

#include "monsoonreel/types.h"

namespace monsoonreel {

// Number of low bits taken from the name's hash. The bits above them hold the
// microseconds since the epoch, which fit into 51 bits until the year 2041.
constexpr int incarnation_name_bits = 12;

incarnation makeIncarnation(const node_name &Name, wall_time Start);

// A hash of Run that is Bits long, for messages in which a whole incarnation
// would be too large. Two runs of one node have the same hash with a
// probability of 1 in 2^Bits, so it may only be used where such a collision has
// no lasting effect.
int64_t incarnationHash(incarnation Run, int Bits);

} // namespace monsoonreel

#endif // MONSOONREEL_INCARNATION_H
