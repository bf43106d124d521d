// Assigns the cells of one zone to the entries that own their queues, by
// rendezvous hashing with bounded loads.
//
//   cell_owners Owners(CellsOfZone, EntriesOfZone);
//   for (const node_name &Entry : Owners.preferenceOrder(Cell))
//     ... // the owner first, then the fallbacks if it does not answer
//
// Every node with the same cells and entries computes the same owners. No entry
// owns more than `maxCellsPerEntry` cells. When an entry joins or leaves, few
// cells move besides its own. Construction sorts all pairs of a cell and an
// entry, so an object should be kept until the cells or the entries change.

#ifndef MONSOONREEL_CELL_OWNERS_H
#define MONSOONREEL_CELL_OWNERS_H

#include <cstddef>
#include <map>
#include <vector>

#include "monsoonreel/pool_map.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Percentage by which the total capacity of a zone's entries exceeds the number
// of cells. Without this slack, the loss of an entry would move most cells.
constexpr size_t owner_slack_percent = 25;

// Upper bound of the number of cells that one entry owns.
size_t maxCellsPerEntry(size_t Cells, size_t Entries);

class cell_owners {
public:
  cell_owners(std::vector<cell_name> Cells, std::vector<node_name> Entries);

  // The entries that may own Cell's queue, in order of preference, the owner
  // first. If the first entry leaves and owned no other cell, the second one
  // becomes the owner. Empty when Cell is unknown or there are no entries.
  const std::vector<node_name> &preferenceOrder(const cell_name &Cell) const;
  const std::vector<cell_name> &cells() const { return Cells; }
  const std::vector<node_name> &entries() const { return Entries; }

private:
  void assign();

  std::vector<cell_name> Cells;   // sorted
  std::vector<node_name> Entries; // sorted
  std::map<cell_name, std::vector<node_name>> Orders;
};

} // namespace monsoonreel

#endif // MONSOONREEL_CELL_OWNERS_H
