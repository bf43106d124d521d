// The time of day on which the entries agree.
//
//   true_time Clock;
//   Clock.onOwn(Now, Wall);
//   Clock.onPeer(From, Now, PeerWall);
//   wall_time Time = Clock.at(Now);
//
// The time of day of single VMs may jump by seconds. The median over all
// entries' clocks does not follow a minority, and between readings the time
// advances on boot time, which never jumps.

#ifndef ROUTING_TRUE_TIME_H
#define ROUTING_TRUE_TIME_H

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// A peer's clock that was not heard for so long no longer counts.
constexpr duration clock_reading_age = std::chrono::seconds(10);

class true_time {
public:
  void onOwn(steady_time Now, wall_time Wall);
  void onPeer(const address &From, steady_time Now, wall_time Wall);
  wall_time at(steady_time Now) const;

private:
  struct reading {
    duration Offset{}; // of the time of day from the own boot time
    steady_time TakenAt;
  };
  void update(steady_time Now);

  reading Own;
  absl::flat_hash_map<address, reading> Peers;
  duration Offset{};
};

} // namespace monsoonreel

#endif // ROUTING_TRUE_TIME_H
