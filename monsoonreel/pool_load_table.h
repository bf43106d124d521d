// The loads of pools that members exchange in heartbeats.
//
//   Table.setOwn(Loads, Now);
//   Beat.Loads = Table.pick(max_gossip_loads, Now);
//   Table.merge(Answer.Loads, Now);
//
// Loads are forwarded with their age, so that a load expires at all nodes when
// its owner no longer sends it.

#ifndef MONSOONREEL_POOL_LOAD_TABLE_H
#define MONSOONREEL_POOL_LOAD_TABLE_H

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

// How long a load stays valid after its owner sent it.
constexpr duration pool_load_retention = std::chrono::seconds(10);
constexpr size_t max_pool_loads = 512;

class pool_load_table {
public:
  explicit pool_load_table(std::string Self) : Self(std::move(Self)) {}

  // Replaces the loads of the pools that this node owns. Each of them is sent
  // once before any is sent again, even when they are replaced in between.
  void setOwn(std::vector<wire::pool_load> Loads, steady_time Now);
  void merge(const std::vector<wire::pool_load> &Loads, steady_time Now);
  // The loads that this node sent least often, the newest first, at most Limit.
  std::vector<wire::pool_load> pick(size_t Limit, steady_time Now);
  // The loads of other owners that are not older than pool_load_retention.
  std::vector<wire::pool_load> received(steady_time Now) const;

private:
  using load_key = std::pair<std::string, std::string>; // pool, owner
  struct known_load {
    wire::pool_load Load;
    steady_time At; // when its owner sent it, by this node's clock
    int SendCount = 0;
  };
  void forgetOld(steady_time Now);

  std::string Self;
  std::map<load_key, known_load> Loads;
};

} // namespace monsoonreel

#endif // MONSOONREEL_POOL_LOAD_TABLE_H
