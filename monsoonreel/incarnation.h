// Makes the number that tells two runs of processes apart.
//
//   incarnation Own = makeIncarnation(node_name("entry-3"), Wall);
//
// Writers and sources of usage are known in the log by this number alone, so
// it must differ between all processes of a site, also when a whole site is
// started at once: it is the time of the start, followed by bits of the name.
// Two processes share it if they start in the same microsecond and their names
// share the bits, which one pair of names in 4,096 does. For one name it grows
// with every start.

#ifndef MONSOONREEL_INCARNATION_H
#define MONSOONREEL_INCARNATION_H

#include <cstdint>

#include "monsoonreel/types.h"

namespace monsoonreel {

// Bits of the name's hash behind the microseconds since the epoch, which need
// 51 bits until the year 2041.
constexpr int incarnation_name_bits = 12;

incarnation makeIncarnation(const node_name &Name, wall_time Start);

// A hash of Run with so many bits, for messages in which a whole incarnation
// would be too long and two runs of one node that share a number, one pair in
// 2^Bits, do no lasting harm.
int64_t runNumber(incarnation Run, int Bits);

} // namespace monsoonreel

#endif // MONSOONREEL_INCARNATION_H
