// Maps prompt prefixes to the upstreams that most recently processed them.
//
//   prefix_affinity Affinity(4096);
//   Affinity.put(Hash, Upstream);
//   if (Affinity.find(Hash) == Upstream) ...
//
// This is only a hint, because an engine's prefix cache is limited and its
// cache events arrive late and incompletely. The least recently used hash is
// evicted.

#ifndef MONSOONREEL_PREFIX_AFFINITY_H
#define MONSOONREEL_PREFIX_AFFINITY_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/types.h"

namespace monsoonreel {

class prefix_affinity {
public:
  explicit prefix_affinity(size_t Capacity) : Capacity(Capacity) {}

  // Hash 0 means "no prefix" and is ignored.
  void put(uint64_t Hash, const upstream_name &Upstream);
  // Returns nullptr for an unknown hash.
  const upstream_name *find(uint64_t Hash) const;
  // Removes all hashes of Upstream, whose cache was lost.
  void forget(const upstream_name &Upstream);
  size_t size() const { return ByUse.size(); }

private:
  using entry = std::pair<uint64_t, upstream_name>;
  size_t Capacity;
  std::list<entry> ByUse; // most recently used first
  absl::flat_hash_map<uint64_t, std::list<entry>::iterator> ByHash;
};

} // namespace monsoonreel

#endif // MONSOONREEL_PREFIX_AFFINITY_H
