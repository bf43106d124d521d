#include "monsoonreel/prefix_affinity.h"

namespace monsoonreel {

void prefix_affinity::put(uint64_t Hash, const upstream_name &Upstream) {
  if (Hash == 0)
    return;
  auto Known = ByHash.find(Hash);
  if (Known != ByHash.end()) {
    Known->second->second = Upstream;
    ByUse.splice(ByUse.begin(), ByUse, Known->second);
    return;
  }
  if (ByUse.size() >= Capacity) {
    ByHash.erase(ByUse.back().first);
    ByUse.pop_back();
  }
  ByUse.emplace_front(Hash, Upstream);
  ByHash.emplace(Hash, ByUse.begin());
}

const upstream_name *prefix_affinity::find(uint64_t Hash) const {
  auto Known = ByHash.find(Hash);
  return Known == ByHash.end() ? nullptr : &Known->second->second;
}

void prefix_affinity::forget(const upstream_name &Upstream) {
  for (auto It = ByUse.begin(); It != ByUse.end();) {
    if (It->second != Upstream) {
      ++It;
      continue;
    }
    ByHash.erase(It->first);
    It = ByUse.erase(It);
  }
}

} // namespace monsoonreel
