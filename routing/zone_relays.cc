#include "routing/zone_relays.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>

#include "monsoonreel/rendezvous.h"

namespace monsoonreel {

zone_relays::zone_relays(const node_identity &Identity) : Self(Identity) {}

// Larger VMs first; among equal ones an order that all entries share.
zone_relays::candidate zone_relays::candidateOf(const std::string &Name,
                                                int Capacity,
                                                const address &Address) {
  return {Capacity, rendezvousWeight("relay", Name), Address};
}

void zone_relays::setEntries(const std::vector<wire::member> &Others) {
  InUse = Others.size() + 1 >= relayed_fleet;
  Listeners.clear();
  OwnRelays.clear();
  FarRelays.clear();
  std::map<std::string, std::vector<candidate>> Zones;
  candidate Own = candidateOf(Self.Name.Value, Self.Capacity, Self.Address);
  Zones[Self.Zone.Value].push_back(Own);
  for (const wire::member &Member : Others) {
    address Address(Member.Address);
    if (Member.Zone == Self.Zone.Value)
      Listeners.push_back(Address);
    Zones[Member.Zone].push_back(
        candidateOf(Member.Name, Member.Capacity, Address));
  }
  std::sort(Listeners.begin(), Listeners.end());
  OwnPlace = relays_in_zone;
  for (auto &[Zone, Candidates] : Zones) {
    size_t Count = std::min(relays_in_zone, Candidates.size());
    std::partial_sort(Candidates.begin(),
                      Candidates.begin() + static_cast<std::ptrdiff_t>(Count),
                      Candidates.end(), std::greater<>());
    for (size_t Place = 0; Place < Count; ++Place)
      if (Zone != Self.Zone.Value)
        FarRelays.push_back(Candidates[Place].Address);
      else if (Candidates[Place] == Own)
        OwnPlace = Place;
      else
        OwnRelays.push_back(Candidates[Place].Address);
  }
  absl::erase_if(HeardAt,
                 [&](const auto &Heard) { return !isListener(Heard.first); });
}

bool zone_relays::isListener(const address &Entry) const {
  return std::binary_search(Listeners.begin(), Listeners.end(), Entry);
}

void zone_relays::onHeard(const address &From, steady_time Now) {
  if (isListener(From))
    HeardAt[From] = Now;
}

bool zone_relays::isActing(steady_time Now) const {
  if (!InUse || !isRelay())
    return false;
  return !hears(OwnPlace, Now);
}

bool zone_relays::hearsAny(steady_time Now) const {
  return InUse && hears(OwnRelays.size(), Now);
}

// Whether one of the first relays other than this entry has been heard of late.
bool zone_relays::hears(size_t Count, steady_time Now) const {
  return std::any_of(
      OwnRelays.begin(), OwnRelays.begin() + static_cast<std::ptrdiff_t>(Count),
      [&](const address &Relay) {
        auto It = HeardAt.find(Relay);
        return It != HeardAt.end() && Now - It->second < relay_silence;
      });
}

} // namespace monsoonreel
