// Settings of one process: its identity and the addresses of its peers.
//
//   auto Parsed = parseSettings(Text, "entry-1.yaml");
//
//   name: entry-1
//   zone: fukuoka
//   listen: 127.0.0.1:7000        # callers; entries only
//   peer: 127.0.0.1:7100          # other entries and stewards
//   admin: 127.0.0.1:7200         # health, metrics, status
//   platform: 127.0.0.1:7900
//   seeds: [127.0.0.1:7101, 127.0.0.1:7102]
//   policy: tiered                # or another name in scheduling_policy.h
//   log_level: info
//   limits:
//     header_bytes: 32768
//     body_bytes: 8388608
//     connections: 4000
//     connections_per_address: 2000
//     header_timeout: 10s
//     idle_timeout: 60s
//     drain_timeout: 120s
//
// Settings are read once, when the process starts. Options that can change at
// run time are in configuration.h.

#ifndef MONSOONREEL_SETTINGS_H
#define MONSOONREEL_SETTINGS_H

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "monsoonreel/finding.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Limits of the callers' requests, connections and times.
struct listener_limits {
  int HeaderBytes = 32 * 1024;
  int BodyBytes = 8 * 1024 * 1024;
  int Connections = 4000;
  int ConnectionsPerAddress = 2000;
  duration HeaderTimeout = std::chrono::seconds(10);
  duration IdleTimeout = std::chrono::seconds(60);
  duration DrainTimeout = std::chrono::seconds(120);
};

struct settings {
  node_name Name;
  zone_name Zone;
  address Listen;
  address Peer;
  address Admin;
  address Platform;
  std::vector<address> Seeds;
  std::string Policy = "tiered";
  std::string LogLevel = "info";
  listener_limits Limits;
};

// Validates the whole document. On failure, returns all findings together.
tl::expected<settings, finding_list> parseSettings(const std::string &Document,
                                                   const std::string &File);

} // namespace monsoonreel

#endif // MONSOONREEL_SETTINGS_H
