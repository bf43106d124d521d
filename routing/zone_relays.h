// Which entries pass on what the others of their zone tell of their work.
//
//   zone_relays Relays(Self);
//   Relays.setEntries(Alive);          // all live entries but this one
//   if (Relays.inUse())
//     tell(Relays.ofOwnZone(), Report);
//   if (Relays.isActing(Now))
//     tell(Relays.listeners(), Sum);
//
// Load pattern: many entries. Reports of every entry to every other one grow
// with the square of their number; at some dozens they take more processor time
// than callers' requests, or are older than the work that they tell of. So from
// `relayed_fleet` entries on, each entry reports to the relays of its zone
// only. One of them at a time tells the zone's sum to the zone and to other
// zones' relays; the next one does when the first has been silent for
// `relay_silence`. An ordinary entry then sends and receives a few messages a
// second, however many entries there are.
//
// Nothing that has to be safe depends on a relay: without one, entries place by
// their own work and read the store themselves.

#ifndef ROUTING_ZONE_RELAYS_H
#define ROUTING_ZONE_RELAYS_H

#include <vector>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// With fewer entries, each reports to each ten times a second.
constexpr size_t relayed_fleet = 16;
// A second relay takes over when the first one dies or freezes.
constexpr size_t relays_in_zone = 2;
// Without a word of the relays before it for so long, a relay acts.
constexpr duration relay_silence = std::chrono::milliseconds(500);

class zone_relays {
public:
  explicit zone_relays(const node_identity &Identity);

  void setEntries(const std::vector<wire::member> &Others);
  // A relay of the own zone has told its sum.
  void onHeard(const address &From, steady_time Now);

  bool inUse() const { return InUse; }
  bool isRelay() const { return OwnPlace < relays_in_zone; }
  // Whether another relay of the own zone has told its sum of late.
  bool hearsAny(steady_time Now) const;
  // Whether this relay has to tell the zone's sum.
  bool isActing(steady_time Now) const;
  // The relays of the own zone but this entry.
  const std::vector<address> &ofOwnZone() const { return OwnRelays; }
  // The relays of all other zones.
  const std::vector<address> &ofOtherZones() const { return FarRelays; }
  // The other entries of the own zone.
  const std::vector<address> &listeners() const { return Listeners; }
  bool isListener(const address &Entry) const;

private:
  struct candidate {
    int Capacity = 0;
    uint64_t Weight = 0;
    address Address;
    auto operator<=>(const candidate &) const = default;
  };
  static candidate candidateOf(const std::string &Name, int Capacity,
                               const address &Address);

  bool hears(size_t Count, steady_time Now) const;

  node_identity Self;
  bool InUse = false;
  size_t OwnPlace = relays_in_zone; // among the candidates of the own zone
  std::vector<address> OwnRelays;   // the best first
  std::vector<address> FarRelays;
  std::vector<address> Listeners; // sorted
  absl::flat_hash_map<address, steady_time> HeardAt;
};

} // namespace monsoonreel

#endif // ROUTING_ZONE_RELAYS_H
