// The host part of addresses.
//
//   hostOf(address("10.0.1.7:7100")) == "10.0.1.7"
//   hostOf(address("[fd00::7]:7100")) == "fd00::7"
//
// Processes whose listeners have the same host run on the same VM.

#ifndef MONSOONREEL_HOST_H
#define MONSOONREEL_HOST_H

#include <string>

#include "monsoonreel/types.h"

namespace monsoonreel {

// The address without port and brackets.
std::string hostOf(const address &Address);
bool hasPort(const address &Address);
// Returns Host, which has no port, with the port of Other appended.
address withPortOf(const address &Host, const address &Other);

} // namespace monsoonreel

#endif // MONSOONREEL_HOST_H
