#include "monsoonreel/configuration_values.h"

#include <utility>

namespace monsoonreel {

upstream_kind readUpstreamKind(yaml_map &Map) {
  std::string Kind = Map.choice("kind", {"engine", "service"}, "engine");
  return Kind == "service" ? upstream_kind::Service : upstream_kind::Engine;
}

service_class readServiceClass(yaml_map &Map, class_name Name,
                               const std::string &CheapAllowedKey) {
  service_class Class;
  Class.Name = std::move(Name);
  Class.Tier = tier{Map.integer("tier", 0, max_tier)};
  Class.FirstTokenTarget =
      Map.time("first_token", std::chrono::milliseconds(1), longest_time);
  Class.BetweenTokensTarget = Map.time("between_tokens", duration::zero(),
                                       longest_time, duration::zero());
  Class.Objective = Map.number("objective", 0.0, 1.0, Class.Objective);
  Class.MinimumShare = Map.number("minimum_share", 0.0, 1.0, 0.0);
  Class.CheapAllowed = Map.flag(CheapAllowedKey, false);
  return Class;
}

} // namespace monsoonreel
