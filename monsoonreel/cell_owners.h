// Which entries own the cells of one zone: rendezvous hashing with bounded
// loads.
//
//   cell_owners Owners(CellsOfZone, EntriesOfZone);
//   for (const node_name &Entry : Owners.inOrder(Cell))
//     ... // the owner first, then those that are asked when it is silent
//
// Every node with the same cells and entries finds the same owners. No entry
// owns more than `mostCellsPerEntry`, and when one comes or goes few cells move
// besides its own. Building it costs a sort of all pairs of a cell and an
// entry, so it is kept until the cells or the entries change.

#ifndef MONSOONREEL_CELL_OWNERS_H
#define MONSOONREEL_CELL_OWNERS_H

#include <cstddef>
#include <map>
#include <vector>

#include "monsoonreel/pool_map.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// The entries of a zone together may own so many percent more cells than there
// are. With none to spare, the loss of an entry would move most cells.
constexpr size_t owner_slack_percent = 25;

// Upper bound of the cells that one of so many entries owns.
size_t mostCellsPerEntry(size_t Cells, size_t Entries);

class cell_owners {
public:
  cell_owners(std::vector<cell_name> Cells, std::vector<node_name> Entries);

  // The entries that may own Cell's queue, the owner first. The second is the
  // owner when the first is lost and had no other cell. Empty when Cell is none
  // of the cells, or there are no entries.
  const std::vector<node_name> &inOrder(const cell_name &Cell) const;
  const std::vector<cell_name> &cells() const { return Cells; }
  const std::vector<node_name> &entries() const { return Entries; }

private:
  void assign();

  std::vector<cell_name> Cells;   // by name
  std::vector<node_name> Entries; // by name
  std::map<cell_name, std::vector<node_name>> Orders;
};

} // namespace monsoonreel

#endif // MONSOONREEL_CELL_OWNERS_H
