// Time of day on which the entries agree.
//
//   median_clock Clock;
//   Clock.onOwn(Now, Wall);
//   Clock.onPeer(From, Now, PeerWall);
//   wall_time Time = Clock.at(Now);
//
// The clock of a single VM may jump by seconds. The median of all entries'
// clocks does not follow a minority of them. Between readings the time advances
// with boot time, which never jumps.

#ifndef ROUTING_MEDIAN_CLOCK_H
#define ROUTING_MEDIAN_CLOCK_H

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// A reading of a peer's clock expires after this time.
constexpr duration max_clock_reading_age = std::chrono::seconds(10);

class median_clock {
public:
  void onOwn(steady_time Now, wall_time Wall);
  void onPeer(const address &From, steady_time Now, wall_time Wall);
  wall_time at(steady_time Now) const;

private:
  struct reading {
    duration Offset{}; // time of day minus own boot time
    steady_time TakenAt;
  };
  void update(steady_time Now);

  reading Own;
  absl::flat_hash_map<address, reading> Peers;
  duration Offset{};
};

} // namespace monsoonreel

#endif // ROUTING_MEDIAN_CLOCK_H
