// The machine's monotonic clock in the library's type.
//
//   steady_time Now = steadyNow();

#ifndef STANDINS_STEADY_CLOCK_H
#define STANDINS_STEADY_CLOCK_H

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::standin {

inline steady_time steadyNow() {
  return std::chrono::time_point_cast<duration>(
      std::chrono::steady_clock::now());
}

} // namespace monsoonreel::standin

#endif // STANDINS_STEADY_CLOCK_H
