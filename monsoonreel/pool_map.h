// The cells that each pool of upstreams is divided into.
//
//   pool_map Map = pool_map::fromConfiguration(Configuration);
//   for (const cell *Cell : Map.cellsOf(pool_name("small-model"),
//                                       zone_name("norte")))
//     ask(Cell->Name);
//
// A cell is a few upstreams of one pool in one zone. They share a queue, which
// has one owner. Small cells bound the number of messages that one owner
// handles. The division is a pure function of the configuration, so all nodes
// compute the same cells.

#ifndef MONSOONREEL_POOL_MAP_H
#define MONSOONREEL_POOL_MAP_H

#include <map>
#include <string>
#include <vector>

#include "monsoonreel/configuration.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// "pool@zone#number"; sent as `slot_ask.Pool` and `pool_load.Pool`.
using cell_name = strong_name<struct cell_name_tag>;

// Upper bound on the number of upstreams in one cell.
constexpr int max_cell_upstreams = 4;

struct cell {
  cell_name Name;
  pool_name Pool;
  zone_name Zone;
  std::vector<upstream> Upstreams; // sorted by name
  // The number of requests that all upstreams together serve at once.
  int concurrency() const;
  // Whether it has an upstream that can't be reclaimed at short notice.
  bool hasReliable() const;
};

class pool_map {
public:
  static pool_map fromConfiguration(const configuration &Configuration);

  // The cells of Pool in Zone, ordered by number. Empty when there are none.
  std::vector<const cell *> cellsOf(const pool_name &Pool,
                                    const zone_name &Zone) const;
  // The cells of Pool in all zones except Zone.
  std::vector<const cell *> cellsOutside(const pool_name &Pool,
                                         const zone_name &Zone) const;
  const cell *find(const cell_name &Name) const;
  const std::map<cell_name, cell> &all() const { return Cells; }

private:
  std::map<cell_name, cell> Cells;
};

} // namespace monsoonreel

#endif // MONSOONREEL_POOL_MAP_H
