#include "monsoonreel/incarnation.h"

#include <cstdint>

#include <xxhash.h>

namespace monsoonreel {

incarnation makeIncarnation(const node_name &Name, wall_time Start) {
  constexpr uint64_t Mask = (uint64_t{1} << incarnation_name_bits) - 1;
  uint64_t Hash = XXH3_64bits(Name.Value.data(), Name.Value.size());
  int64_t Micros = Start.time_since_epoch().count();
  return incarnation{(Micros << incarnation_name_bits) |
                     static_cast<int64_t>(Hash & Mask)};
}

int64_t incarnationHash(incarnation Run, int Bits) {
  uint64_t Mask = (uint64_t{1} << Bits) - 1;
  return static_cast<int64_t>(XXH3_64bits(&Run.Value, sizeof(Run.Value)) &
                              Mask);
}

} // namespace monsoonreel
