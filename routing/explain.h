// Where a request would go at present, and why.
//
//   explanation Why = Router.explain(Request, Table, Context);
//   if (Why.Status != http_status::ok)
//     ... // Why.Code: not admitted
//   for (const explained_upstream &Each : Why.Upstreams) ...
//
// `request_router::explain` computes it with the same functions that place
// requests. It is for operators: the state of the router does not change, and
// no key is part of an explanation.

#ifndef ROUTING_EXPLAIN_H
#define ROUTING_EXPLAIN_H

#include <optional>
#include <string>
#include <vector>

#include "routing/placement.h"

namespace monsoonreel {

// Maximum number of upstreams in an explanation.
constexpr size_t max_explained_upstreams = 32;

struct explained_upstream {
  upstream_name Name;
  zone_name Zone;
  // Why the upstream cannot be chosen; empty if it can. The fields of Option
  // are then unset.
  std::string Excluded;
  placement Option;
  int64_t CachedTokens = 0; // of the prompt
  // Of the oldest report of another entry that counts requests here; unset if
  // there is none.
  std::optional<duration> ReportAge;
};

struct explanation {
  int Status = 0;   // as the request would get; 200: it is admitted
  std::string Code; // reason for another status
  std::string Route;
  pool_name Service;
  urgency Urgency;
  std::optional<int> Rank; // at the engine; unset if the service has none
  int64_t ConfigVersion = 0;
  duration RegistryAge{};
  bool InMilliseconds = false; // unit of the costs, see placement.h
  // The entry that would be asked to place the request; empty if this one
  // places it.
  address Asked;
  upstream_name Chosen; // by this entry; empty: none
  // Why the request would be refused although it is admitted; empty: it would
  // not.
  std::string Refused;
  bool IsSampled = false; // the choice compares only a random sample
  size_t Listed = 0;      // upstreams of the service
  // The chosen one, then the others by cost, then those that are excluded.
  std::vector<explained_upstream> Upstreams;
};

} // namespace monsoonreel

#endif // ROUTING_EXPLAIN_H
