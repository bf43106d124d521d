// The order in which members are probed: each once per round, in an order that
// is shuffled for every round.
//
//   std::optional<node_name> Next = Schedule.next(Candidates, Random);
//
// Independent random choices could leave a member unprobed for a long time;
// rounds bound that time.

#ifndef MONSOONREEL_PROBE_SCHEDULE_H
#define MONSOONREEL_PROBE_SCHEDULE_H

#include <cstdint>
#include <optional>
#include <vector>

#include "monsoonreel/types.h"

namespace monsoonreel {

class probe_schedule {
public:
  // Returns the next member of Candidates to probe, or nullopt when there are
  // none. Candidates may change between calls. Random seeds the shuffle of a
  // new round.
  std::optional<node_name> next(const std::vector<node_name> &Candidates,
                                uint64_t Random);

private:
  std::vector<node_name> Round; // not yet probed; the next one is last
};

} // namespace monsoonreel

#endif // MONSOONREEL_PROBE_SCHEDULE_H
