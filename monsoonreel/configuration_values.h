// Bounds and value readers that the configuration and the questionnaire share.
//
//   int Tier = Map.integer("tier", 0, max_tier);
//   upstream_kind Kind = readUpstreamKind(Map);
//   service_class Class = readServiceClass(Map, Name, "cheap_allowed");

#ifndef MONSOONREEL_CONFIGURATION_VALUES_H
#define MONSOONREEL_CONFIGURATION_VALUES_H

#include <string>

#include "monsoonreel/configuration.h"
#include "monsoonreel/yaml_reader.h"

namespace monsoonreel {

constexpr int max_tier = 3;
constexpr duration longest_time = std::chrono::hours(24 * 30);
constexpr int max_concurrency = 10000;
// Upper bound of requests per second and of costs.
constexpr double max_rate = 1e6;

// The value of "kind"; engine by default.
upstream_kind readUpstreamKind(yaml_map &Map);

// Reads the class that Map describes. The caller has read its name before. The
// two documents use different keys for the permission to run on reclaimable
// upstreams, so the caller passes that key.
service_class readServiceClass(yaml_map &Map, class_name Name,
                               const std::string &CheapAllowedKey);

} // namespace monsoonreel

#endif // MONSOONREEL_CONFIGURATION_VALUES_H
