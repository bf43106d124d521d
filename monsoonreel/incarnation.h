// Makes the number that tells two runs of processes apart.
//
//   incarnation Own = makeIncarnation(node_name("entry-3"), Wall);
//
// Writers and sources of usage are known in the log by this number alone, so
// it must differ between all processes of a site, also when a whole site is
// started at once: it is the time of the start, followed by bits of the name.
// For one name it grows with every start.

#ifndef MONSOONREEL_INCARNATION_H
#define MONSOONREEL_INCARNATION_H

#include "monsoonreel/types.h"

namespace monsoonreel {

// Bits of the name's hash behind the microseconds since the epoch, which need
// 51 bits until the year 2041.
constexpr int incarnation_name_bits = 12;

incarnation makeIncarnation(const node_name &Name, wall_time Start);

} // namespace monsoonreel

#endif // MONSOONREEL_INCARNATION_H
