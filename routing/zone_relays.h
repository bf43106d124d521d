// Selects the entries that aggregate the load reports of their zone and relay
// them.
//
//   zone_relays Relays(Self);
//   Relays.setEntries(Alive);          // all live entries without this one
//   if (Relays.inUse())
//     send(Relays.ofOwnZone(), Report);
//   if (Relays.isActing(Now))
//     send(Relays.zoneEntries(), Sum);
//
// Load pattern: many entries. With reports from every entry to every other one,
// the number of messages grows with the square of the number of entries. With a
// few dozen entries the reports take more processor time than callers'
// requests, or are older than the requests that they describe. From
// `min_relayed_entries` entries on, each entry therefore reports only to the
// relays of its zone. One relay at a time sends the zone's sum to the zone and
// to the relays of other zones; the next relay takes over when the first has
// been silent for `relay_timeout`. An ordinary entry then sends and receives a
// few messages per second, whatever the number of entries.
//
// No safety property depends on a relay: without one, entries place requests by
// their own load and read the store themselves.

#ifndef ROUTING_ZONE_RELAYS_H
#define ROUTING_ZONE_RELAYS_H

#include <map>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// With fewer entries, each reports to every other one ten times per second.
constexpr size_t min_relayed_entries = 16;
// A second relay takes over when the first one fails or freezes.
constexpr size_t relays_in_zone = 2;
// A relay becomes active when the relays before it have been silent for this
// time.
constexpr duration relay_timeout = std::chrono::milliseconds(500);

class zone_relays {
public:
  explicit zone_relays(const node_identity &Identity);

  void setEntries(const std::vector<wire::member> &Others);
  // Handles a report with the zone's sum by a relay of the own zone.
  void onZoneSum(const address &From, steady_time Now);

  bool inUse() const { return InUse; }
  bool isRelay() const { return OwnPlace < relays_in_zone; }
  // Returns whether another relay of the own zone has recently sent its sum.
  bool hasReportingRelay(steady_time Now) const;
  // Returns whether this entry is the relay that has to send the zone's sum.
  bool isActing(steady_time Now) const;
  // Returns the first other relay of the own zone that has reported recently;
  // empty if there is none.
  address reportingRelay(steady_time Now) const;
  // The relays of the own zone, without this entry.
  const std::vector<address> &ofOwnZone() const { return OwnRelays; }
  // The relays of all other zones.
  const std::vector<address> &ofOtherZones() const { return OtherZoneRelays; }
  // Returns the relays of a zone in order of rank, without this entry.
  const std::vector<address> &ofZone(const zone_name &Zone) const;
  // The other entries of the own zone.
  const std::vector<address> &zoneEntries() const { return ZoneEntries; }
  bool isInOwnZone(const address &Entry) const;

private:
  struct candidate {
    int Capacity = 0;
    uint64_t Weight = 0;
    address Address;
    auto operator<=>(const candidate &) const = default;
  };
  static candidate candidateOf(const std::string &Name, int Capacity,
                               const address &Address);

  bool hasReportedRecently(const address &Relay, steady_time Now) const;
  bool anyReportedRecently(size_t Count, steady_time Now) const;

  node_identity Self;
  bool InUse = false;
  size_t OwnPlace = relays_in_zone; // rank among the relays of the own zone
  std::vector<address> OwnRelays;   // in order of rank
  std::vector<address> OtherZoneRelays;
  std::map<zone_name, std::vector<address>> RelaysByZone; // other zones
  std::vector<address> ZoneEntries;                       // sorted
  absl::flat_hash_map<address, steady_time> ReceivedAt;
};

} // namespace monsoonreel

#endif // ROUTING_ZONE_RELAYS_H
