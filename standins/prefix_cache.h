// An engine's cache of prompt prefixes, limited in tokens.
//
//   int Hit = Cache.match(Prompt);
//   Cache.insert(Prompt);
//
// A prompt is cut into blocks; a block is known by the hash of everything up
// to its end. The block that was used longest ago is dropped first.

#ifndef STANDINS_PREFIX_CACHE_H
#define STANDINS_PREFIX_CACHE_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace monsoonreel::standin {

class prefix_cache {
public:
  // Tokens and bytes of one block.
  static constexpr int block_tokens = 32;
  static constexpr int block_bytes = 128;

  explicit prefix_cache(int LimitTokens)
      : Limit(static_cast<size_t>(LimitTokens / block_tokens)) {}

  // Tokens at the start of Prompt that are cached.
  int match(std::string_view Prompt) const;
  void insert(std::string_view Prompt);
  // Part of the limit that is in use.
  double use() const;

private:
  static std::vector<uint64_t> blocks(std::string_view Prompt);

  size_t Limit;
  std::list<uint64_t> Order; // front: used last
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> Places;
};

} // namespace monsoonreel::standin

#endif // STANDINS_PREFIX_CACHE_H
