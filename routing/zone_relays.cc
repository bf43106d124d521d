#include "routing/zone_relays.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>

#include "monsoonreel/rendezvous.h"

namespace monsoonreel {

zone_relays::zone_relays(const node_identity &Identity) : Self(Identity) {}

// Larger VMs are preferred; among equal ones all entries use the same order.
zone_relays::candidate zone_relays::candidateOf(const std::string &Name,
                                                int Capacity,
                                                const address &Address) {
  return {Capacity, rendezvousWeight("relay", Name), Address};
}

void zone_relays::setEntries(const std::vector<wire::member> &Others) {
  InUse = Others.size() + 1 >= min_relayed_entries;
  ZoneEntries.clear();
  OwnRelays.clear();
  OtherZoneRelays.clear();
  RelaysByZone.clear();
  std::map<std::string, std::vector<candidate>> Zones;
  candidate Own = candidateOf(Self.Name.Value, Self.Capacity, Self.Address);
  Zones[Self.Zone.Value].push_back(Own);
  for (const wire::member &Member : Others) {
    address Address(Member.Address);
    if (Member.Zone == Self.Zone.Value)
      ZoneEntries.push_back(Address);
    Zones[Member.Zone].push_back(
        candidateOf(Member.Name, Member.Capacity, Address));
  }
  std::sort(ZoneEntries.begin(), ZoneEntries.end());
  OwnPlace = relays_in_zone;
  for (auto &[Zone, Candidates] : Zones) {
    size_t Count = std::min(relays_in_zone, Candidates.size());
    std::partial_sort(Candidates.begin(),
                      Candidates.begin() + static_cast<std::ptrdiff_t>(Count),
                      Candidates.end(), std::greater<>());
    for (size_t Place = 0; Place < Count; ++Place)
      if (Zone != Self.Zone.Value) {
        OtherZoneRelays.push_back(Candidates[Place].Address);
        RelaysByZone[zone_name(Zone)].push_back(Candidates[Place].Address);
      } else if (Candidates[Place] == Own)
        OwnPlace = Place;
      else
        OwnRelays.push_back(Candidates[Place].Address);
  }
  absl::erase_if(ReceivedAt, [&](const auto &Report) {
    return !isInOwnZone(Report.first);
  });
}

bool zone_relays::isInOwnZone(const address &Entry) const {
  return std::binary_search(ZoneEntries.begin(), ZoneEntries.end(), Entry);
}

void zone_relays::onZoneSum(const address &From, steady_time Now) {
  if (isInOwnZone(From))
    ReceivedAt[From] = Now;
}

bool zone_relays::isActing(steady_time Now) const {
  if (!InUse || !isRelay())
    return false;
  return !anyReportedRecently(OwnPlace, Now);
}

bool zone_relays::hasReportingRelay(steady_time Now) const {
  return InUse && anyReportedRecently(OwnRelays.size(), Now);
}

const std::vector<address> &zone_relays::ofZone(const zone_name &Zone) const {
  static const std::vector<address> None;
  if (Zone == Self.Zone)
    return OwnRelays;
  auto It = RelaysByZone.find(Zone);
  return It == RelaysByZone.end() ? None : It->second;
}

address zone_relays::reportingRelay(steady_time Now) const {
  for (const address &Relay : OwnRelays)
    if (hasReportedRecently(Relay, Now))
      return Relay;
  return {};
}

bool zone_relays::hasReportedRecently(const address &Relay,
                                      steady_time Now) const {
  auto It = ReceivedAt.find(Relay);
  return It != ReceivedAt.end() && Now - It->second < relay_timeout;
}

// Returns whether one of the first Count other relays has reported recently.
bool zone_relays::anyReportedRecently(size_t Count, steady_time Now) const {
  return std::any_of(
      OwnRelays.begin(), OwnRelays.begin() + static_cast<std::ptrdiff_t>(Count),
      [&](const address &Relay) { return hasReportedRecently(Relay, Now); });
}

} // namespace monsoonreel
