// The loads of pools that members tell each other in heartbeats.
//
//   Table.setOwn(Loads, Now);
//   Beat.Loads = Table.pick(max_gossip_loads, Now);
//   Table.merge(Answer.Loads, Now);
//
// Loads are passed on with their age, so that one is forgotten everywhere when
// its owner no longer tells it.

#ifndef MONSOONREEL_POOL_LOAD_TABLE_H
#define MONSOONREEL_POOL_LOAD_TABLE_H

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

// How long a load counts after its owner told it.
constexpr duration pool_load_retention = std::chrono::seconds(10);
constexpr size_t max_pool_loads = 512;

class pool_load_table {
public:
  explicit pool_load_table(std::string Self) : Self(std::move(Self)) {}

  // Loads of the pools that this node owns; replaces those set before.
  // However often they are set, each is told once before any is told again.
  void setOwn(std::vector<wire::pool_load> Loads, steady_time Now);
  void merge(const std::vector<wire::pool_load> &Loads, steady_time Now);
  // Those that this node told least often, the newest first, Limit at most.
  std::vector<wire::pool_load> pick(size_t Limit, steady_time Now);
  // What others told, not older than pool_load_retention.
  std::vector<wire::pool_load> heard(steady_time Now) const;

private:
  using load_key = std::pair<std::string, std::string>; // pool, owner
  struct known_load {
    wire::pool_load Load;
    steady_time At; // when its owner told it
    int Told = 0;
  };
  void forgetOld(steady_time Now);

  std::string Self;
  std::map<load_key, known_load> Loads;
};

} // namespace monsoonreel

#endif // MONSOONREEL_POOL_LOAD_TABLE_H
