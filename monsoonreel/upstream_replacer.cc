#include "monsoonreel/upstream_replacer.h"

#include <utility>

namespace monsoonreel {

upstream_replacer::upstream_replacer(zone_name Zone) : Zone(std::move(Zone)) {}

std::vector<order_request>
upstream_replacer::onVmList(const vm_list_read &List,
                            const configuration &Config) {
  std::vector<order_request> Requests;
  absl::btree_set<node_name> LeavingNow;
  for (const vm_entry &Vm : List.Vms) {
    if (!Vm.Leaving || Vm.Zone != Zone)
      continue;
    auto Found = Config.Upstreams.find(upstream_name(Vm.Name.Value));
    if (Found == Config.Upstreams.end() || !Found->second.Cheap)
      continue;
    LeavingNow.insert(Vm.Name);
    if (!Leaving.contains(Vm.Name))
      Requests.push_back({"replace/" + Vm.Name.Value,
                          wire::order_kind::StartUpstream, Vm.Name.Value, 1});
  }
  Leaving = std::move(LeavingNow);
  return Requests;
}

} // namespace monsoonreel
