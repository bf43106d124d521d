// A position in one log of the platform's store.
//
// A store that has been restored from a backup starts a new era: records that
// were appended after the backup are gone, and their offsets are given out
// again. So an offset identifies a record only together with its era, and a
// position of a later era is always the newer one.

#ifndef ROUTING_STORE_POSITION_H
#define ROUTING_STORE_POSITION_H

#include <compare>
#include <cstdint>

namespace monsoonreel {

struct store_position {
  int64_t Era = 0; // 0: unknown
  int64_t Offset = 0;

  auto operator<=>(const store_position &) const = default;
};

// The era of a store that has never been restored.
constexpr int64_t first_store_era = 1;

} // namespace monsoonreel

#endif // ROUTING_STORE_POSITION_H
