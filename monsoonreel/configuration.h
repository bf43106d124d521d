// The configuration that operators apply while traffic runs: classes,
// organisations, routes, upstreams and limits.
//
//   auto Parsed = parseConfiguration(Text, "site.yaml");
//   if (!Parsed)
//     std::cerr << Parsed.error().toString();
//   else
//     use(*Parsed);
//
// The document is YAML and is stored as text in the operator log. Callers' keys
// are not part of it. They have separate records, so that replacing the
// document can't restore a withdrawn key.

#ifndef MONSOONREEL_CONFIGURATION_H
#define MONSOONREEL_CONFIGURATION_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "monsoonreel/finding.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// A kind of request with a contracted tail latency.
struct service_class {
  class_name Name;
  tier Tier;
  // Target time to the first token of a model's answer or, for a plain service,
  // to the whole answer.
  duration FirstTokenTarget{};
  // Target time between two tokens; zero for plain services.
  duration BetweenTokensTarget{};
  // Fraction of the requests that must meet the targets, 0 to 1.
  double Objective = 0.95;
  // Fraction of a pool's slot grants that this class receives while it has
  // requests waiting.
  double MinimumShare = 0.0;
  // Whether its requests may run on upstreams that can be reclaimed.
  bool CheapAllowed = false;
};

struct organisation {
  organisation_name Name;
  // Share of a contended pool, relative to the other organisations.
  double Weight = 1.0;
  // Classes that its contract covers; empty means all.
  std::vector<class_name> Classes;
  // Requests per second over all entries; zero means no limit.
  double RequestsPerSecond = 0.0;
};

enum class upstream_kind { Engine, Service };

struct upstream {
  upstream_name Name;
  upstream_kind Kind = upstream_kind::Engine;
  pool_name Pool;
  zone_name Zone;
  address Address;
  // Number of concurrent requests that it serves without missing targets.
  int Concurrency = 8;
  // Whether the platform can reclaim it at a few seconds' notice.
  bool Cheap = false;
  // Whether it refuses orders that carry an old fencing token.
  bool ChecksFence = false;
  // Relative cost of one second of use.
  double Cost = 1.0;
};

// How a path is served. The longest matching prefix wins.
struct route {
  std::string PathPrefix;
  // When empty, the model in the request names the pool.
  pool_name Pool;
  // The class of a request that doesn't specify one.
  class_name DefaultClass;
  bool Idempotent = false;
  // Whether requests are served without a key.
  bool Open = false;
};

struct policy_limits {
  // Longest time that a request may wait for a slot, whatever its deadline.
  duration MaxQueueWait = std::chrono::seconds(30);
  // Maximum number of requests that wait in one pool's queue.
  int MaxQueueLength = 10000;
  // Retries of an organisation, as a fraction of its requests.
  double RetryBudget = 0.1;
  // How long a claimed idempotency key is remembered.
  duration ClaimWindow = std::chrono::hours(24);
  // How long a node that can reach neither the log nor a peer may run requests
  // with its last known keys. The second limit is that of non-idempotent
  // requests.
  duration StaleKeyTrust = std::chrono::hours(12);
  duration StaleKeyTrustNonIdempotent = std::chrono::minutes(5);
  // Length of one usage window.
  duration UsageWindow = std::chrono::minutes(1);
};

struct configuration {
  std::map<class_name, service_class> Classes;
  std::map<organisation_name, organisation> Organisations;
  std::map<upstream_name, upstream> Upstreams;
  std::vector<route> Routes;
  policy_limits Limits;

  // The route with the longest prefix that matches Path, or nullptr.
  const route *findRoute(const std::string &Path) const;
  const service_class *findClass(const class_name &Name) const;
  bool mayUse(const organisation_name &Org, const class_name &Class) const;
};

// Parses and checks the whole document, and returns all findings together when
// there are any. File is only used as the file name in the findings.
tl::expected<configuration, finding_list>
parseConfiguration(const std::string &Document, const std::string &File);

} // namespace monsoonreel

#endif // MONSOONREEL_CONFIGURATION_H
