#include "routing/zone_evacuations.h"

#include <algorithm>

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
    Orders[Zone] = {};
    Ends.erase(Zone);
    return IsNew ? std::optional(evacuation_change{Zone, true, "ordered"})
                 : std::nullopt;
  }
  bool MayBeLost = Change.IsMissing && Change.AfterOutage;
  if (MayBeLost) {
    if (It != Orders.end())
      It->second.Since = It->second.Since.value_or(Now);
    return std::nullopt;
  }
  rememberEnd(Zone, Now);
  if (It == Orders.end())
    return std::nullopt;
  Orders.erase(It);
  return evacuation_change{Zone, false, "removed"};
}

bool zone_evacuations::isEnded(const zone_name &Zone, steady_time Since) const {
  auto It = Ends.find(Zone);
  if (It == Ends.end())
    return false;
  // Only a restore loses an order without a removal. An entry that read the
  // store late therefore has a younger order that ended all the same.
  bool IsOfThisEra = !RestoredAt || It->second >= *RestoredAt;
  return IsOfThisEra || Since <= It->second;
}

void zone_evacuations::rememberEnd(const zone_name &Zone, steady_time Now) {
  Ends[Zone] = Now;
  if (Ends.size() > max_ended_orders)
    Ends.erase(std::min_element(
        Ends.begin(), Ends.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
}

std::optional<evacuation_change>
zone_evacuations::onUnconfirmed(const unconfirmed_order &Told,
                                steady_time Now) {
  if (!Told.Age && !isNew(Now))
    return std::nullopt;
  steady_time Since = Now - std::clamp(Told.Age.value_or(duration::zero()),
                                       duration::zero(), longest_told_age);
  bool IsOver = !isWithinGrace(Since, Now);
  if (Told.Zone.empty() || Since <= ExpiredBy || (IsOver && ReachedForGrace) ||
      isEnded(Told.Zone, Since))
    return std::nullopt;
  if (Orders.size() >= max_told_orders && !Orders.contains(Told.Zone))
    return std::nullopt;
  auto [It, New] = Orders.try_emplace(Told.Zone, order{Since});
  order &Order = It->second;
  if (!Order.Since)
    return std::nullopt; // read by this entry
  Order.Since = std::min(*Order.Since, Since);
  if (IsOver && isNew(Now))
    Order.HeldUntil = Now + told_order_time;
  if (!New)
    return std::nullopt;
  return evacuation_change{Told.Zone, true, "unconfirmed-by-peer"};
}

// A single failed read does not start the grace period again, because the store
// may refuse one entry that learns of all changes from the others.
std::vector<evacuation_change>
zone_evacuations::onTick(steady_time Now, bool StoreFailing, duration FeedAge) {
  bool WasFrozen = LastTick && Now - *LastTick >= shortest_outage;
  if (!LastTick || WasFrozen)
    RunningSince = Now;
  if (WasFrozen)
    UnreachableAt = Now;
  LastTick = Now;
  std::vector<evacuation_change> Changes;
  ReachedForGrace = false;
  if (StoreFailing) {
    if (FeedAge >= LostOrderGrace / 2)
      UnreachableAt = Now;
    return Changes;
  }
  bool WasReached = !UnreachableAt || !isWithinGrace(*UnreachableAt, Now);
  ReachedForGrace = WasReached && !isNew(Now);
  if (ReachedForGrace)
    ExpiredBy = Now - LostOrderGrace;
  std::erase_if(Ends,
                [&](const auto &Item) { return Item.second <= ExpiredBy; });
  for (auto It = Orders.begin(); It != Orders.end();) {
    const auto &[Zone, Order] = *It;
    if (Order.Since && WasReached && !isWithinGrace(*Order.Since, Now) &&
        Now >= Order.HeldUntil) {
      Changes.push_back({Zone, false, "not-written-again"});
      rememberEnd(Zone, Now);
      It = Orders.erase(It);
    } else {
      ++It;
    }
  }
  return Changes;
}

std::set<zone_name> zone_evacuations::zones() const {
  std::set<zone_name> Zones;
  for (const auto &[Zone, Order] : Orders)
    Zones.insert(Zone);
  return Zones;
}

std::vector<unconfirmed_order>
zone_evacuations::unconfirmed(steady_time Now) const {
  std::vector<unconfirmed_order> Told;
  bool StartsAgain = UnreachableAt && isWithinGrace(*UnreachableAt, Now);
  for (const auto &[Zone, Order] : Orders)
    if (Order.Since && (StartsAgain || isWithinGrace(*Order.Since, Now)))
      Told.push_back({Zone, Now - *Order.Since});
  return Told;
}

} // namespace monsoonreel
