#include "monsoonreel/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <xxhash.h>

namespace monsoonreel {

namespace {

struct weighted_member {
  uint64_t Weight = 0;
  wire::member Member;
};

bool isBefore(const weighted_member &Left, const weighted_member &Right) {
  if (Left.Weight != Right.Weight)
    return Left.Weight > Right.Weight;
  return Left.Member.Name < Right.Member.Name;
}

} // namespace

uint64_t rendezvousWeight(std::string_view Key, std::string_view Name) {
  uint64_t Seed = XXH3_64bits(Key.data(), Key.size());
  return XXH3_64bits_withSeed(Name.data(), Name.size(), Seed);
}

std::vector<wire::member> rendezvousOrder(std::string_view Key,
                                          std::vector<wire::member> Members) {
  std::vector<weighted_member> Weighted;
  Weighted.reserve(Members.size());
  for (wire::member &Member : Members) {
    uint64_t Weight = rendezvousWeight(Key, Member.Name);
    Weighted.push_back({Weight, std::move(Member)});
  }
  std::sort(Weighted.begin(), Weighted.end(), isBefore);
  for (size_t Index = 0; Index < Weighted.size(); ++Index)
    Members[Index] = std::move(Weighted[Index].Member);
  return Members;
}

} // namespace monsoonreel
