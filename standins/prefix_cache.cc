#include "standins/prefix_cache.h"

#include <xxhash.h>

namespace monsoonreel::standin {

std::vector<uint64_t> prefix_cache::blocks(std::string_view Prompt) {
  std::vector<uint64_t> Hashes;
  uint64_t Hash = 0;
  for (size_t At = 0; At + block_bytes <= Prompt.size(); At += block_bytes) {
    Hash = XXH3_64bits_withSeed(Prompt.data() + At, block_bytes, Hash);
    Hashes.push_back(Hash);
  }
  return Hashes;
}

int prefix_cache::match(std::string_view Prompt) const {
  int Tokens = 0;
  for (uint64_t Block : blocks(Prompt)) {
    if (!Places.contains(Block))
      break;
    Tokens += block_tokens;
  }
  return Tokens;
}

void prefix_cache::insert(std::string_view Prompt) {
  std::vector<uint64_t> Blocks = blocks(Prompt);
  // Later blocks go in first, so that they are dropped first: a block without
  // those before it is of no use.
  for (auto Block = Blocks.rbegin(); Block != Blocks.rend(); ++Block) {
    auto Place = Places.find(*Block);
    if (Place != Places.end())
      Order.erase(Place->second);
    Order.push_front(*Block);
    Places[*Block] = Order.begin();
  }
  while (Order.size() > Limit) {
    Places.erase(Order.back());
    Order.pop_back();
  }
}

double prefix_cache::use() const {
  if (Limit == 0)
    return 0;
  return static_cast<double>(Order.size()) / static_cast<double>(Limit);
}

} // namespace monsoonreel::standin
