// Times for tests: offsets from an arbitrary start of one clock.
//
//   Feed.onTick(at(1500ms), ...);

#ifndef ROUTING_TESTING_TEST_TIME_H
#define ROUTING_TESTING_TEST_TIME_H

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

inline steady_time at(duration SinceStart) {
  return steady_time(std::chrono::hours(1)) + SinceStart;
}

} // namespace monsoonreel

#endif // ROUTING_TESTING_TEST_TIME_H
