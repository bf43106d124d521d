#include "monsoonreel/settings.h"

#include "monsoonreel/address.h"
#include "monsoonreel/configuration_page.h"
#include "monsoonreel/scheduling_policy.h"
#include "monsoonreel/yaml_reader.h"

namespace monsoonreel {

namespace {

constexpr int max_body_bytes = 256 * 1024 * 1024;
constexpr int max_connections = 100000;
constexpr duration shortest_timeout = std::chrono::milliseconds(10);
constexpr duration longest_timeout = std::chrono::hours(1);

listener_limits readLimits(yaml_map Map) {
  listener_limits Limits;
  Limits.HeaderBytes =
      Map.integer("header_bytes", 1024, 1024 * 1024, Limits.HeaderBytes);
  Limits.BodyBytes =
      Map.integer("body_bytes", 1024, max_body_bytes, Limits.BodyBytes);
  Limits.Connections =
      Map.integer("connections", 1, max_connections, Limits.Connections);
  Limits.ConnectionsPerAddress =
      Map.integer("connections_per_address", 1, max_connections,
                  Limits.ConnectionsPerAddress);
  Limits.HeaderTimeout = Map.time("header_timeout", shortest_timeout,
                                  longest_timeout, Limits.HeaderTimeout);
  Limits.IdleTimeout = Map.time("idle_timeout", shortest_timeout,
                                longest_timeout, Limits.IdleTimeout);
  Limits.DrainTimeout = Map.time("drain_timeout", shortest_timeout,
                                 longest_timeout, Limits.DrainTimeout);
  Map.rejectUnknown();
  return Limits;
}

std::vector<address> readSeeds(yaml_map &Map) {
  std::vector<address> Seeds;
  for (const std::string &Text : Map.texts("seeds")) {
    if (!isAddress(Text))
      Map.reject("seeds", Text + " is not an IP address and a port");
    Seeds.emplace_back(Text);
  }
  return Seeds;
}

settings readSettings(yaml_map &Root) {
  settings Result;
  Result.Name = node_name(Root.text("name"));
  Result.Zone = zone_name(Root.text("zone"));
  Result.Listen = Root.endpoint("listen", address());
  Result.Peer = Root.endpoint("peer");
  Result.Admin = Root.endpoint("admin");
  Result.Platform = Root.endpoint("platform");
  Result.Seeds = readSeeds(Root);
  Result.Policy = Root.choice("policy", schedulingPolicyNames(), Result.Policy);
  Result.LogLevel = Root.choice(
      "log_level", {"debug", "info", "warning", "error"}, Result.LogLevel);
  Result.Limits = readLimits(Root.map("limits"));
  return Result;
}

} // namespace

tl::expected<settings, finding_list> parseSettings(const std::string &Document,
                                                   const std::string &File) {
  return readYamlDocument(Document, File, readSettings);
}

std::vector<yaml_field> settingsFields() { return fieldsOf(readSettings); }

} // namespace monsoonreel
