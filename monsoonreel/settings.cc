#include "monsoonreel/settings.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "monsoonreel/address.h"
#include "monsoonreel/yaml_reader.h"

namespace monsoonreel {

namespace {

constexpr std::array<std::string_view, 3> Policies = {
    "tiered", "least-in-flight", "round-robin-fifo"};
constexpr std::array<std::string_view, 4> LogLevels = {"debug", "info",
                                                       "warning", "error"};

constexpr int max_body_bytes = 256 * 1024 * 1024;
constexpr int max_connections = 100000;
constexpr duration shortest_timeout = std::chrono::milliseconds(10);
constexpr duration longest_timeout = std::chrono::hours(1);

template <size_t Count>
std::string readChoice(yaml_map &Map, const std::string &Key,
                       const std::array<std::string_view, Count> &Choices,
                       const std::string &Default) {
  std::string Value = Map.text(Key, Default);
  if (std::find(Choices.begin(), Choices.end(), Value) != Choices.end())
    return Value;
  std::string Message = "must be one of:";
  for (std::string_view Choice : Choices)
    Message += " " + std::string(Choice);
  Map.reject(Key, Message);
  return Default;
}

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

} // namespace

tl::expected<settings, finding_list> parseSettings(const std::string &Document,
                                                   const std::string &File) {
  finding_list Findings;
  settings Result;
  if (auto Node = loadYaml(Document, File, Findings)) {
    yaml_map Root(*Node, File, "", Findings);
    Result.Name = node_name(Root.text("name"));
    Result.Zone = zone_name(Root.text("zone"));
    Result.Listen = Root.endpoint("listen", address());
    Result.Peer = Root.endpoint("peer");
    Result.Admin = Root.endpoint("admin");
    Result.Platform = Root.endpoint("platform");
    Result.Seeds = readSeeds(Root);
    Result.Policy = readChoice(Root, "policy", Policies, Result.Policy);
    Result.LogLevel = readChoice(Root, "log_level", LogLevels, Result.LogLevel);
    Result.Limits = readLimits(Root.map("limits"));
    Root.rejectUnknown();
  }
  if (!Findings.empty())
    return tl::unexpected(std::move(Findings));
  return Result;
}

} // namespace monsoonreel
