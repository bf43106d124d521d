// Remembers which upstream has lately read a prompt's beginning.
//
//   prefix_affinity Affinity(4096);
//   Affinity.put(Hash, Upstream);
//   if (Affinity.find(Hash) == Upstream) ...
//
// An engine's cache of prompt prefixes is limited and its events come late and
// with gaps, so this is a hint. The least recently used hash is forgotten.

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

  // Hash 0 stands for "no prefix" and is not kept.
  void put(uint64_t Hash, const upstream_name &Upstream);
  // nullptr: nothing is known.
  const upstream_name *find(uint64_t Hash) const;
  // The upstream's cache is gone.
  void forget(const upstream_name &Upstream);
  size_t size() const { return ByUse.size(); }

private:
  using entry = std::pair<uint64_t, upstream_name>;
  size_t Capacity;
  std::list<entry> ByUse; // the latest first
  absl::flat_hash_map<uint64_t, std::list<entry>::iterator> ByHash;
};

} // namespace monsoonreel

#endif // MONSOONREEL_PREFIX_AFFINITY_H
