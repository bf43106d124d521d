// Invariants that are checked in every build.
//
//   if (!invariantHolds(Effects, Offset > Last, "offset-only-grows", Detail))
//     return; // the one action concerned is stopped
//
// A breach becomes a `report_breach` effect, which the daemons log and count.
// Test programs call `abortOnBreach(true)` first, so that a breach ends them.

#ifndef MONSOONREEL_INVARIANT_H
#define MONSOONREEL_INVARIANT_H

#include <string_view>

#include "monsoonreel/effect.h"

namespace monsoonreel {

// Returns Condition. Reports a breach when it is false.
bool invariantHolds(effect_list &Effects, bool Condition,
                    std::string_view Invariant, std::string_view Detail);

// Whether a breach ends the process. False at start.
void abortOnBreach(bool Abort);

} // namespace monsoonreel

#endif // MONSOONREEL_INVARIANT_H
