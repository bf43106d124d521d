// The clock readings that go into events.
//
//   event Event{steadyNow(), wallNow(), Random(), tick{}};
//
// Only the I/O layer reads clocks; the library gets the readings with events.

#ifndef IO_CLOCK_H
#define IO_CLOCK_H

#include <ctime>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

inline steady_time steadyNow() {
  return std::chrono::time_point_cast<duration>(
      std::chrono::steady_clock::now());
}

// Goes on while the VM is suspended, where the steady clock stands still.
inline steady_time bootNow() {
  timespec Reading{};
  ::clock_gettime(CLOCK_BOOTTIME, &Reading);
  auto SinceBoot = std::chrono::seconds(Reading.tv_sec) +
                   std::chrono::nanoseconds(Reading.tv_nsec);
  return steady_time(std::chrono::duration_cast<duration>(SinceBoot));
}

inline wall_time wallNow() {
  return std::chrono::time_point_cast<duration>(
      std::chrono::system_clock::now());
}

} // namespace monsoonreel

#endif // IO_CLOCK_H
