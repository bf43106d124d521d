// Finds the route, the organisation and the service of a request.
//
//   route_table Table(Config);
//   const host_route *Route = Table.find("api.example", "/chat/7");
//
// A table is built once for each configuration and is immutable. Requests keep
// a shared pointer to the table under which they were admitted.

#ifndef ROUTING_ROUTE_TABLE_H
#define ROUTING_ROUTE_TABLE_H

#include <limits>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"

#include "routing/engine_ranks.h"
#include "routing/site_config.h"

namespace monsoonreel {

// What the routes to a service have in common.
struct service_routes {
  int MostUrgentRank = std::numeric_limits<int>::max();
  duration StrictestPause = duration::max(); // of the streams
  duration LongestTarget{};                  // of the streams
};

class route_table {
public:
  explicit route_table(site_config Config);

  // Returns the route of Host with the longest matching prefix of Path, or
  // nullptr.
  const host_route *find(std::string_view Host, std::string_view Path) const;

  // Returns the organisation that holds Key, or nullptr.
  const organisation_terms *organisationOf(const key_hash &Key) const;

  const service *findService(const pool_name &Name) const;

  // Returns the service for a request of Route, or nullptr if the route has
  // none. Draw is a random number that distributes requests over the services
  // by weight; equal numbers give the same service.
  static const pool_name *chooseService(const host_route &Route, uint64_t Draw);

  // Returns the ranks of requests at the engines of Service, or nullptr if it
  // has no engines.
  const engine_ranks *ranksAt(const pool_name &Service) const;

  // Returns what the routes to Service have in common, or nullptr if there are
  // none.
  const service_routes *routesTo(const pool_name &Service) const;

  // Returns whether callers need keys at all.
  bool hasOrganisations() const { return !Config.Organisations.empty(); }
  const site_config &config() const { return Config; }

private:
  struct route_key {
    std::string Host;
    std::string Prefix;
    bool operator==(const route_key &) const = default;
    template <typename H> friend H AbslHashValue(H State, const route_key &K) {
      return H::combine(std::move(State), K.Host, K.Prefix);
    }
  };

  site_config Config;
  absl::flat_hash_map<route_key, size_t> ByPrefix;
  absl::flat_hash_map<key_hash, size_t> ByKey;
  absl::flat_hash_map<pool_name, size_t> ByService;
  absl::flat_hash_map<pool_name, engine_ranks> RanksAt;
  absl::flat_hash_map<pool_name, service_routes> RoutesTo;
};

} // namespace monsoonreel

#endif // ROUTING_ROUTE_TABLE_H
