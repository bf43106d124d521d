// Invariants that are checked in every build.
//
//   if (!invariantHolds(Effects, Offset > Last, "offset-only-grows", Detail))
//     return; // skip only the action that would break the invariant
//
// A breach produces a `report_breach` effect, which the daemons log and count.
// Test programs call `abortOnBreach(true)` at their start, so that a breach
// aborts them.

#ifndef MONSOONREEL_INVARIANT_H
#define MONSOONREEL_INVARIANT_H

#include <string_view>

#include "monsoonreel/effect.h"

namespace monsoonreel {

// Returns Condition. Reports a breach if it is false.
bool invariantHolds(effect_list &Effects, bool Condition,
                    std::string_view Invariant, std::string_view Detail);

// Sets whether a breach aborts the process. The default is false.
void abortOnBreach(bool Abort);

} // namespace monsoonreel

#endif // MONSOONREEL_INVARIANT_H
