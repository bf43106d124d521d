// Upstreams that requests may be sent to, as listed by the platform.
//
//   upstream_registry Registry;
//   Registry.onListed(Listed, Now);
//   Registry.onTick(Now, StoreFailing);
//   for (const upstream_state *U : Registry.serving(Service)) ...
//
// Upstreams in evacuated zones stay listed but are not among those that serve,
// so that no request can be sent to them.
//
// An upstream that reports that it is leaving gets no new requests from then
// on; the platform's list may show it later, or never.
//
// The cause of a removal during or shortly after a failure of the platform's
// store may be only that the upstream could not reach the store. Such an entry
// has lapsed: it stays in use until the store has been reachable for
// LapseGrace. If it has not returned by then, it is removed.

#ifndef ROUTING_UPSTREAM_REGISTRY_H
#define ROUTING_UPSTREAM_REGISTRY_H

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "routing/routing_event.h"

namespace monsoonreel {

// Time for lapsed entries to return after the store has recovered, unless the
// site's limits set another one.
constexpr duration lapse_grace = std::chrono::milliseconds(1800);
// How long a removed entry, and the notice that its upstream is leaving, are
// remembered.
constexpr duration removed_retention = std::chrono::seconds(60);
// Maximum number of upstreams; further entries are ignored.
constexpr size_t max_upstreams = 4096;

// One run of an upstream's process.
struct upstream_instance {
  upstream_name Name;
  std::chrono::milliseconds StartedAt{}; // as in upstream_entry
};

struct upstream_state {
  upstream_entry Entry;
  steady_time ListedAt;
  // Set while the entry is missing but may only have lapsed.
  std::optional<steady_time> LapsedAt;
  // The upstream is cold before this time.
  steady_time coldUntil() const { return ListedAt + Entry.ColdFor; }
};

class upstream_registry {
public:
  explicit upstream_registry(duration LapseGrace = lapse_grace)
      : LapseGrace(LapseGrace) {}

  void onListed(const upstream_listed &Listed, steady_time Now);
  // Handles a notice by the upstream or another entry that this instance is
  // leaving. It gets no new requests from now on, whatever is listed for it.
  // Returns whether the notice is new.
  bool onLeaving(const upstream_instance &Instance, steady_time Now);
  // Returns the instances that are known to be leaving since this time.
  std::vector<upstream_instance> leavingSince(steady_time Since) const;
  void onTick(steady_time Now, bool StoreFailing);
  // Sets the zones whose upstreams accept no new requests.
  void setEvacuated(std::set<zone_name> Zones);
  bool isEvacuated(const zone_name &Zone) const {
    return Evacuated.contains(Zone);
  }

  // Returns the upstreams of a service that accept new requests. Valid until
  // the next change.
  const std::vector<const upstream_state *> &
  serving(const pool_name &Service) const;
  // Returns the upstreams of a service that are draining: they accept no new
  // requests, but still run. Valid until the next change.
  const std::vector<const upstream_state *> &
  draining(const pool_name &Service) const;
  // Returns an upstream that is in one of these two lists; nullptr if it is in
  // neither.
  const upstream_state *findRunning(const upstream_name &Name,
                                    const pool_name &Service) const;
  // Returns whether the upstream accepts no new requests, by its registry entry
  // or by its own notice.
  bool isLeaving(const upstream_entry &Entry) const;
  // Returns nullptr if it is not listed.
  const upstream_state *find(const upstream_name &Name) const;
  size_t size() const { return Upstreams.size(); }
  const std::map<upstream_name, upstream_state> &all() const {
    return Upstreams;
  }

private:
  struct leaving_instance {
    std::chrono::milliseconds StartedAt;
    steady_time ReceivedAt;
  };
  // Last report of a removed upstream. A store that was restored from a backup
  // lists the upstream again, by this report or an earlier one.
  struct removed_entry {
    std::chrono::milliseconds StartedAt;
    int64_t Sequence = 0;
    steady_time RemovedAt;
  };
  using upstream_map = std::map<upstream_name, upstream_state>;

  bool hasNotice(const upstream_entry &Entry) const;
  void expireLeaving(steady_time Now);
  bool isStale(const upstream_entry &Entry) const;
  upstream_map::iterator remove(upstream_map::iterator It, steady_time Now);
  void reindex();

  duration LapseGrace;
  upstream_map Upstreams;
  std::map<upstream_name, removed_entry> Removed;
  std::map<upstream_name, leaving_instance> Leaving;
  std::set<zone_name> Evacuated;
  bool AnyLapsed = false; // some entries may have a LapsedAt
  using service_index =
      std::map<pool_name, std::vector<const upstream_state *>>;
  static const std::vector<const upstream_state *> &
  listOf(const service_index &Index, const pool_name &Service);
  service_index ByService;
  service_index DrainingByService;
};

} // namespace monsoonreel

#endif // ROUTING_UPSTREAM_REGISTRY_H
