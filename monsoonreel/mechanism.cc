#include "monsoonreel/mechanism.h"

#include <atomic>
#include <cstdint>

namespace monsoonreel {

namespace {

std::atomic<uint64_t> DisabledBits = 0;

static_assert(mechanism_count <= 64, "one bit for each");

uint64_t bitOf(mechanism Mechanism) {
  return uint64_t{1} << static_cast<unsigned>(Mechanism);
}

} // namespace

bool isEnabled(mechanism Mechanism) {
  return (DisabledBits.load(std::memory_order_relaxed) & bitOf(Mechanism)) == 0;
}

disabled_mechanism::disabled_mechanism(mechanism Mechanism)
    : Mechanism(Mechanism) {
  DisabledBits |= bitOf(Mechanism);
}

disabled_mechanism::~disabled_mechanism() { DisabledBits &= ~bitOf(Mechanism); }

} // namespace monsoonreel
