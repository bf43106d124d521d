#include "routing/zone_evacuations.h"

#include "absl/strings/match.h"

namespace monsoonreel {

bool zone_evacuations::isOrder(const std::string &Key) const {
  return !KeyPrefix.empty() && Key.size() > KeyPrefix.size() &&
         absl::StartsWith(Key, KeyPrefix);
}

std::optional<evacuation_change>
zone_evacuations::onChange(const feed_change &Change, steady_time Now) {
  zone_name Zone(Change.Key.substr(KeyPrefix.size()));
  auto It = Orders.find(Zone);
  if (Change.Value) {
    bool IsNew = It == Orders.end();
    Orders[Zone] = std::nullopt;
    return IsNew ? std::optional(evacuation_change{Zone, true, "ordered"})
                 : std::nullopt;
  }
  if (It == Orders.end())
    return std::nullopt;
  if (Change.IsMissing && Change.AfterOutage) {
    It->second = It->second.value_or(Now);
    return std::nullopt;
  }
  Orders.erase(It);
  return evacuation_change{Zone, false, "removed"};
}

std::optional<evacuation_change>
zone_evacuations::onUnconfirmed(const zone_name &Zone, steady_time Now) {
  if (Zone.empty() || !Orders.try_emplace(Zone, Now).second)
    return std::nullopt;
  return evacuation_change{Zone, true, "unconfirmed-by-peer"};
}

std::vector<evacuation_change> zone_evacuations::onTick(steady_time Now,
                                                        bool StoreFailing) {
  std::vector<evacuation_change> Changes;
  for (auto It = Orders.begin(); It != Orders.end();) {
    std::optional<steady_time> &Since = It->second;
    if (Since && StoreFailing)
      Since = Now;
    if (Since && Now - *Since >= LostOrderGrace) {
      Changes.push_back({It->first, false, "not-written-again"});
      It = Orders.erase(It);
    } else {
      ++It;
    }
  }
  return Changes;
}

std::set<zone_name> zone_evacuations::zones() const {
  std::set<zone_name> Zones;
  for (const auto &[Zone, Since] : Orders)
    Zones.insert(Zone);
  return Zones;
}

std::vector<zone_name> zone_evacuations::unconfirmed() const {
  std::vector<zone_name> Zones;
  for (const auto &[Zone, Since] : Orders)
    if (Since)
      Zones.push_back(Zone);
  return Zones;
}

} // namespace monsoonreel
