#include "standins/platform_records.h"

#include <algorithm>

namespace monsoonreel::standin {

acceptance usage_reports::take(const usage_report &Report) {
  if (Report.Fence < HighestFence) {
    ++OldFences;
    if (ChecksFence)
      return acceptance::OldFence;
  }
  HighestFence = std::max(HighestFence, Report.Fence);
  auto [Place, New] = Windows.emplace(Report.Window, Report);
  if (New)
    return acceptance::Taken;
  if (Place->second.Figures == Report.Figures)
    ++Repeats;
  else
    ++Conflicts;
  return acceptance::Repeated;
}

acceptance order_book::take(const upstream_order &Order) {
  int64_t &Highest = HighestFence[Order.Zone];
  if (Order.Fence < Highest) {
    ++OldFences;
    if (ChecksFence)
      return acceptance::OldFence;
  }
  Highest = std::max(Highest, Order.Fence);
  if (!Ids.insert(Order.OrderId).second) {
    ++Repeats;
    return acceptance::Repeated;
  }
  Effective.push_back(Order);
  return acceptance::Taken;
}

void vm_list::set(std::vector<listed_vm> Vms, steady_time Now) {
  Versions.push_back({Now, std::move(Vms)});
}

void vm_list::markLeaving(const std::string &ZoneOrName, steady_time Now) {
  if (Versions.empty())
    return;
  std::vector<listed_vm> Vms = Versions.back().Vms;
  for (listed_vm &Vm : Vms)
    Vm.Leaving |= Vm.Name == ZoneOrName || Vm.Zone == ZoneOrName;
  set(std::move(Vms), Now);
}

const std::vector<listed_vm> &vm_list::shown(steady_time Now) {
  // The first version is shown at once.
  while (Versions.size() > 1 && Now - Versions[1].Since >= Lag)
    Versions.pop_front();
  return Versions.empty() ? Empty : Versions.front().Vms;
}

} // namespace monsoonreel::standin
