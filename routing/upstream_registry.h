// The upstreams that requests may go to, as the platform lists them.
//
//   upstream_registry Registry;
//   Registry.onListed(Listed, Now);
//   Registry.onTick(Now, StoreFailing);
//   for (const upstream_state *U : Registry.serving(Service)) ...
//
// An upstream that says itself that it is leaving gets no new work from then
// on; the platform's list may tell of it later, or never.
//
// A removal while the platform's store fails, or just after, may mean only that
// the upstream could not reach the store. Such an entry stays in use until the
// store has answered for LapseGrace; one that has not come back by then is
// gone.

#ifndef ROUTING_UPSTREAM_REGISTRY_H
#define ROUTING_UPSTREAM_REGISTRY_H

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "routing/routing_event.h"

namespace monsoonreel {

// After the store's return, for lapsed entries to come back, unless the site's
// bounds say otherwise.
constexpr duration lapse_grace = std::chrono::milliseconds(1800);
// A removed upstream's load and failures are kept for so long, because its
// running requests go on.
constexpr duration removed_retention = std::chrono::seconds(60);
// Entries beyond this number are not taken in.
constexpr size_t max_upstreams = 4096;

// One run of an upstream's process.
struct upstream_life {
  upstream_name Name;
  std::chrono::milliseconds StartedAt{}; // as in upstream_entry
};

struct upstream_state {
  upstream_entry Entry;
  steady_time ListedAt;
  // Set while the entry is missing but may only have lapsed.
  std::optional<steady_time> LapsedAt;
};

class upstream_registry {
public:
  explicit upstream_registry(duration LapseGrace = lapse_grace)
      : LapseGrace(LapseGrace) {}

  void onListed(const upstream_listed &Listed, steady_time Now);
  // The upstream, or another entry, says that this life of it is leaving. It
  // gets no new work from now on, whatever is listed of it. Returns whether
  // this is news.
  bool onLeaving(const upstream_life &Life, steady_time Now);
  // Lives that were heard to be leaving since then.
  std::vector<upstream_life> leavingSince(steady_time Since) const;
  void onTick(steady_time Now, bool StoreFailing);

  // Upstreams of a service that take new work. Valid until the next change.
  const std::vector<const upstream_state *> &
  serving(const pool_name &Service) const;
  // Whether it takes no new work: by its listing, or by its own word.
  bool isLeaving(const upstream_entry &Entry) const;
  // nullptr when it is not listed.
  const upstream_state *find(const upstream_name &Name) const;
  size_t size() const { return Upstreams.size(); }
  const std::map<upstream_name, upstream_state> &all() const {
    return Upstreams;
  }

private:
  struct leaving_life {
    std::chrono::milliseconds StartedAt;
    steady_time HeardAt;
  };
  void forgetLeft(steady_time Now);
  void reindex();

  duration LapseGrace;
  std::map<upstream_name, upstream_state> Upstreams;
  std::map<upstream_name, leaving_life> Leaving;
  bool AnyLapsed = false; // some may have a LapsedAt
  std::map<pool_name, std::vector<const upstream_state *>> ByService;
};

} // namespace monsoonreel

#endif // ROUTING_UPSTREAM_REGISTRY_H
