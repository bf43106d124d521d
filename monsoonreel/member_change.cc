#include "monsoonreel/member_change.h"

#include <utility>

#include <xxhash.h>

namespace monsoonreel {

namespace {

constexpr int run_hash_bits = 32;
constexpr int state_bits = 3;
constexpr uint64_t state_mask = (uint64_t{1} << state_bits) - 1;

} // namespace

uint32_t runHashOf(const wire::member &Member) {
  uint64_t Name = XXH3_64bits(Member.Name.data(), Member.Name.size());
  return static_cast<uint32_t>(XXH3_64bits_withSeed(
      &Member.Incarnation, sizeof(Member.Incarnation), Name));
}

int64_t encodeChange(const wire::member &Member) {
  uint64_t Change = static_cast<uint32_t>(Member.Refutation);
  Change = Change << state_bits | static_cast<uint64_t>(Member.State);
  return static_cast<int64_t>(Change << run_hash_bits | runHashOf(Member));
}

uint32_t changedRunHash(int64_t Change) {
  return static_cast<uint32_t>(Change);
}

wire::member applyChange(wire::member Member, int64_t Change) {
  uint64_t Version = static_cast<uint64_t>(Change) >> run_hash_bits;
  Member.State = static_cast<wire::member_state::type>(Version & state_mask);
  Member.Refutation = static_cast<int32_t>(Version >> state_bits);
  return Member;
}

} // namespace monsoonreel
