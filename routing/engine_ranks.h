// Maps the urgency of requests to the ranks by which engines schedule them.
//
//   engine_ranks Ranks(Urgencies, Engine.Ranks);
//   int Rank = Ranks.rankOf(urgencyOf(Route, Organisation)); // 0 goes first
//
// A request's priority has two parts: that of its organisation, and that of its
// route, which decides among organisations of equal priority. An engine takes a
// single number and preempts the newest of the requests with equal numbers. The
// rank therefore preserves the order of both parts.
//
// Load pattern that it handles: all slots of an engine are taken, mostly by
// organisations of one priority, and more urgent organisations send requests.

#ifndef ROUTING_ENGINE_RANKS_H
#define ROUTING_ENGINE_RANKS_H

#include <compare>
#include <set>
#include <string>
#include <vector>

#include "routing/site_config.h"

namespace monsoonreel {

// Ordered from the most to the least urgent.
struct urgency {
  int Organisation = 0;
  int Route = 0;
  auto operator<=>(const urgency &) const = default;
};

// Organisation is nullptr on public routes. An organisation without a priority
// gets that of the route.
urgency urgencyOf(const host_route &Route,
                  const organisation_terms *Organisation);

// "1/0": the organisation's part, then the route's.
std::string toText(const urgency &Urgency);

class engine_ranks {
public:
  engine_ranks() = default;
  // Urgencies: every urgency that a request can have. Ranks: the number of
  // ranks that the engines distinguish, at least 1. If there are too few ranks,
  // the least urgent requests share them.
  engine_ranks(const std::set<urgency> &Urgencies, int Ranks);

  int rankOf(const urgency &Urgency) const;

  // The most urgent request of each rank: "0/0,0/1,1/0".
  std::string toText() const;

private:
  // The most urgent urgency of each rank, in ascending order.
  std::vector<urgency> Firsts;
};

} // namespace monsoonreel

#endif // ROUTING_ENGINE_RANKS_H
