#include "monsoonreel/pool_load_table.h"

#include <algorithm>

namespace monsoonreel {

namespace {

constexpr size_t max_pool_name_bytes = 256;

bool isPlausible(const wire::pool_load &Load) {
  return !Load.Pool.empty() && Load.Pool.size() <= max_pool_name_bytes &&
         !Load.Owner.empty() && Load.Owner.size() <= max_pool_name_bytes;
}

} // namespace

void pool_load_table::setOwn(std::vector<wire::pool_load> Own,
                             steady_time Now) {
  std::map<load_key, int> SendCounts;
  bool AllSent = true;
  for (const auto &[Key, Load] : Loads) {
    if (Key.second != Self)
      continue;
    SendCounts[Key] = Load.SendCount;
    AllSent = AllSent && Load.SendCount > 0;
  }
  std::erase_if(Loads,
                [&](const auto &Entry) { return Entry.first.second == Self; });
  for (wire::pool_load &Load : Own) {
    Load.Owner = Self;
    load_key Key(Load.Pool, Load.Owner);
    int Before = AllSent ? 0 : SendCounts[Key];
    Loads[Key] = known_load{std::move(Load), Now, Before};
  }
}

void pool_load_table::merge(const std::vector<wire::pool_load> &Received,
                            steady_time Now) {
  for (const wire::pool_load &Load : Received) {
    if (!isPlausible(Load) || Load.Owner == Self)
      continue;
    load_key Key(Load.Pool, Load.Owner);
    steady_time At = Now - std::max(fromMicros(Load.AgeMicros), duration(0));
    auto Known = Loads.find(Key);
    bool IsNew = Known == Loads.end();
    if (IsNew ? Loads.size() >= max_pool_loads : At <= Known->second.At)
      continue;
    Loads[Key] = known_load{Load, At, 0};
  }
  forgetOld(Now);
}

void pool_load_table::forgetOld(steady_time Now) {
  std::erase_if(Loads, [&](const auto &Entry) {
    return Now - Entry.second.At > pool_load_retention;
  });
}

std::vector<wire::pool_load> pool_load_table::pick(size_t Limit,
                                                   steady_time Now) {
  forgetOld(Now);
  std::vector<known_load *> Choice;
  for (auto &[Key, Load] : Loads)
    Choice.push_back(&Load);
  std::stable_sort(Choice.begin(), Choice.end(),
                   [](const known_load *Left, const known_load *Right) {
                     if (Left->SendCount != Right->SendCount)
                       return Left->SendCount < Right->SendCount;
                     return Left->At > Right->At;
                   });
  if (Choice.size() > Limit)
    Choice.resize(Limit);
  std::vector<wire::pool_load> Picked;
  for (known_load *Load : Choice) {
    ++Load->SendCount;
    Picked.push_back(Load->Load);
    Picked.back().AgeMicros = toMicros(Now - Load->At);
  }
  return Picked;
}

std::vector<wire::pool_load> pool_load_table::received(steady_time Now) const {
  std::vector<wire::pool_load> Received;
  for (const auto &[Key, Load] : Loads)
    if (Key.second != Self && Now - Load.At <= pool_load_retention) {
      Received.push_back(Load.Load);
      Received.back().AgeMicros = toMicros(Now - Load.At);
    }
  return Received;
}

} // namespace monsoonreel
