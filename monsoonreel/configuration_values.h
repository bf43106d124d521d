// Bounds and values that the configuration and the questionnaire share.
//
//   int Tier = Map.integer("tier", 0, max_tier);
//   upstream_kind Kind = readUpstreamKind(Map);

#ifndef MONSOONREEL_CONFIGURATION_VALUES_H
#define MONSOONREEL_CONFIGURATION_VALUES_H

#include "monsoonreel/configuration.h"
#include "monsoonreel/yaml_reader.h"

namespace monsoonreel {

constexpr int max_tier = 3;
constexpr duration longest_time = std::chrono::hours(24 * 30);
constexpr int max_concurrency = 10000;
// Of requests per second, and of costs.
constexpr double max_rate = 1e6;

// The value of "kind"; engine by default.
inline upstream_kind readUpstreamKind(yaml_map &Map) {
  std::string Kind = Map.choice("kind", {"engine", "service"}, "engine");
  return Kind == "service" ? upstream_kind::Service : upstream_kind::Engine;
}

} // namespace monsoonreel

#endif // MONSOONREEL_CONFIGURATION_VALUES_H
