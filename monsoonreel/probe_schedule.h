// The order in which members are probed: every one of them once before any is
// probed again, in an order that is shuffled anew for each round.
//
//   std::optional<node_name> Next = Schedule.next(Candidates, Random);
//
// A purely random choice would leave some member unprobed for long; this
// bounds the time to one round.

#ifndef MONSOONREEL_PROBE_SCHEDULE_H
#define MONSOONREEL_PROBE_SCHEDULE_H

#include <cstdint>
#include <optional>
#include <vector>

#include "monsoonreel/types.h"

namespace monsoonreel {

class probe_schedule {
public:
  // The next of Candidates, which may change between calls.
  std::optional<node_name> next(const std::vector<node_name> &Candidates,
                                uint64_t Random);

private:
  std::vector<node_name> Round; // still to be probed, the next one last
};

} // namespace monsoonreel

#endif // MONSOONREEL_PROBE_SCHEDULE_H
