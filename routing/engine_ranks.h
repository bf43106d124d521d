// The ranks by which engines schedule requests.
//
//   engine_ranks Ranks(Urgencies, Engine.Ranks);
//   int Rank = Ranks.rankOf(urgencyOf(Route, Organisation)); // 0 goes first
//
// A request's priority has two parts: its organisation's, and its route's among
// requests of organisations of equal priority. Engines know one number, and of
// equal ones they preempt the newest. So a rank keeps the order of both parts.
//
// Load pattern that it answers: all slots of an engine are taken, mostly by
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

// Organisation: nullptr on public routes. Where it has no priority of its own,
// the route's stands for it.
urgency urgencyOf(const host_route &Route,
                  const organisation_terms *Organisation);

// "1/0": the organisation's part, then the route's.
std::string toText(const urgency &Urgency);

class engine_ranks {
public:
  engine_ranks() = default;
  // Urgencies: all that requests may have. Ranks: how many the engines tell
  // apart, 1 or more. Where they are too few, the least urgent requests share
  // ranks.
  engine_ranks(const std::set<urgency> &Urgencies, int Ranks);

  int rankOf(const urgency &Urgency) const;

  // The most urgent request of each rank: "0/0,0/1,1/0".
  std::string toText() const;

private:
  // Of each rank the most urgent; ascending.
  std::vector<urgency> Firsts;
};

} // namespace monsoonreel

#endif // ROUTING_ENGINE_RANKS_H
