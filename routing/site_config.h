// Configuration by the operators: routes, services, organisations and limits on
// requests.
//
// The platform's adapter decodes it; `route_table` provides lookups.

#ifndef ROUTING_SITE_CONFIG_H
#define ROUTING_SITE_CONFIG_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

using region_name = strong_name<struct region_name_tag>;
using region_list = std::vector<region_name>;

// Whether a request may be sent more than once.
enum class repeat_kind {
  Idempotent, // may run any number of times
  Once,       // runs at most once
  Stream,     // event stream; runs at most once unless the route is resumable
};

struct weighted_service {
  pool_name Service;
  int Weight = 1;
};

struct host_route {
  std::string Name;
  std::string Host;
  std::string Prefix; // begins and ends with a slash
  repeat_kind Kind = repeat_kind::Once;
  duration Timeout{}; // maximum time until the answer is complete
  duration Target{};  // for the answer, or the first event of a stream
  std::optional<duration> PauseTarget; // maximum pause between events
  int Rank = 0;                        // 0 is the most urgent
  std::vector<weighted_service> Services;
  int MaxAttempts = 1; // maximum number of upstreams per request
  bool Public = false; // no key is needed
  bool Resumable = false;
  std::optional<region_list> AllowedRegions; // unset: all

  bool mayRepeat() const {
    return Kind == repeat_kind::Idempotent ||
           (Kind == repeat_kind::Stream && Resumable);
  }
};

// Engines with at most this many slots have few: one request is then a large
// part of an engine.
constexpr int few_slots = 16;

// Configured properties of the engines of a service.
struct engine_terms {
  int Slots = 1; // concurrent requests
  int64_t CacheTokens = 0;
  int Ranks = 1; // number of scheduling ranks
  // Size of a cached token, and the rate at which engines copy cached tokens
  // from each other. 0: they cannot.
  double TokenBytes = 0;
  double LinkBytesPerMs = 0;

  bool hasFewSlots() const { return Slots <= few_slots; }
  bool canFetch() const { return TokenBytes > 0 && LinkBytesPerMs > 0; }
};

// Limits for orders of upstreams of a service.
struct order_terms {
  int Min = 0; // per zone, both kinds together
  int Max = 0;
  duration BootTime{};
  // Price of a reclaimable upstream as a share of the price of a stable one;
  // unset if there are none.
  std::optional<double> ReclaimablePrice;
  std::map<zone_name, double> ZonePrices;
};

struct service {
  pool_name Name;
  std::string HealthPath;
  int MaxConnections = 0; // per upstream, all entries together
  std::optional<engine_terms> Engine;
  std::optional<order_terms> Orders;
  // Requests per second that a cold upstream accepts; 0: no limit.
  double ColdPerSecond = 0;
  // How long an upstream is cold after it starts during traffic. Registry
  // entries state the time that is left, so no decision depends on it.
  duration ColdStart{};
};

struct organisation_terms {
  organisation_name Name;
  std::vector<key_hash> Keys;
  std::optional<int> Rank;                   // overrides the route's
  std::optional<region_list> AllowedRegions; // unset: all
};

// Limits on requests of callers.
struct caller_bounds {
  int HeadBytes = 16 << 10;
  int64_t BodyBytes = int64_t{4} << 20;
  duration HeadTime = std::chrono::seconds(3);
  duration IdleTime = std::chrono::seconds(15);
};

struct site_config {
  int64_t Version = 0;
  std::vector<host_route> Routes;
  std::vector<service> Services;
  std::vector<organisation_terms> Organisations;
  caller_bounds Bounds;
};

} // namespace monsoonreel

#endif // ROUTING_SITE_CONFIG_H
