// The configuration that operators apply while traffic runs: classes,
// organisations, routes, upstreams and limits.
//
//   auto Parsed = parseConfiguration(Text, "site.yaml");
//   if (!Parsed)
//     std::cerr << Parsed.error().toString();
//   else
//     use(*Parsed);
//
// The document is YAML and travels as text in the operator log. Keys are not
// part of it: they have records of their own, so that replacing the document
// can't bring a withdrawn key back.

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
  // Until the first token of a model's answer, or the whole answer of a plain
  // service.
  duration FirstTokenTarget{};
  // Between two tokens; zero for plain services.
  duration BetweenTokensTarget{};
  // Part of the requests that must meet the targets, 0 to 1.
  double Objective = 0.95;
  // Part of a pool's grants that this class gets while it has work waiting.
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
  // Requests that it serves at once without missing targets.
  int Concurrency = 8;
  // Can be reclaimed at a few seconds' notice.
  bool Cheap = false;
  // Refuses orders that carry an old fencing number.
  bool ChecksFence = false;
  // Relative cost of one second of use.
  double Cost = 1.0;
};

// How a path is served. The longest matching prefix wins.
struct route {
  std::string PathPrefix;
  // Empty: the pool is the model that the request names.
  pool_name Pool;
  // The class of a request that names none.
  class_name DefaultClass;
  bool Idempotent = false;
  // Served without a key.
  bool Open = false;
};

struct policy_limits {
  // Longest time that a request may wait for a slot, whatever its deadline.
  duration MaxQueueWait = std::chrono::seconds(30);
  // Upper bound of waiting requests in one pool's queue.
  int MaxQueueLength = 10000;
  // Retries per organisation, as a part of its requests.
  double RetryBudget = 0.1;
  // How long a claimed idempotency key is remembered.
  duration ClaimWindow = std::chrono::hours(24);
  // How long a node that hears neither the log nor a peer may run idempotent
  // and non-idempotent requests with the keys that it knows.
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

  // The route with the longest prefix of Path, or nullptr.
  const route *findRoute(const std::string &Path) const;
  const service_class *findClass(const class_name &Name) const;
  bool mayUse(const organisation_name &Org, const class_name &Class) const;
};

// Checks the whole document and reports all findings together.
// File is used in the places of the findings only.
tl::expected<configuration, finding_list>
parseConfiguration(const std::string &Document, const std::string &File);

} // namespace monsoonreel

#endif // MONSOONREEL_CONFIGURATION_H
