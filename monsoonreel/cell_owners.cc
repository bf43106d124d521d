#include "monsoonreel/cell_owners.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

#include "monsoonreel/rendezvous.h"

namespace monsoonreel {

namespace {

// An entry that may own a cell, both given as indices into the sorted lists.
struct candidate {
  uint64_t Weight = 0;
  size_t Cell = 0;
  size_t Entry = 0;
};

// The entries of a cell by falling weight. Full holds those whose capacity was
// used up by cells of larger weight.
struct entry_order {
  std::vector<node_name> WithRoom;
  std::vector<node_name> Full;
};

bool isBefore(const candidate &Left, const candidate &Right) {
  if (Left.Weight != Right.Weight)
    return Left.Weight > Right.Weight;
  return std::tie(Left.Cell, Left.Entry) < std::tie(Right.Cell, Right.Entry);
}

size_t totalCapacity(size_t Cells) {
  return (Cells * (100 + owner_slack_percent) + 99) / 100;
}

// The number of cells that each entry may own. The remainder of the equal
// division goes to entries chosen by a hash. If the quotient were rounded up
// for all instead, adding or removing one entry could change every capacity.
std::vector<size_t> capacitiesOf(const std::vector<node_name> &Entries,
                                 size_t Cells) {
  size_t Total = totalCapacity(Cells);
  if (Total < Entries.size())
    return std::vector<size_t>(Entries.size(), 1);
  std::vector<size_t> Capacities(Entries.size(), Total / Entries.size());
  std::vector<candidate> Ranked;
  for (size_t I = 0; I < Entries.size(); ++I)
    Ranked.push_back({rendezvousWeight("capacity", Entries[I].Value), 0, I});
  std::sort(Ranked.begin(), Ranked.end(), isBefore);
  for (size_t I = 0; I < Total % Entries.size(); ++I)
    ++Capacities[Ranked[I].Entry];
  return Capacities;
}

std::vector<candidate> allCandidates(const std::vector<cell_name> &Cells,
                                     const std::vector<node_name> &Entries) {
  std::vector<candidate> Candidates;
  Candidates.reserve(Cells.size() * Entries.size());
  for (size_t Cell = 0; Cell < Cells.size(); ++Cell)
    for (size_t Entry = 0; Entry < Entries.size(); ++Entry)
      Candidates.push_back(
          {rendezvousWeight(Cells[Cell].Value, Entries[Entry].Value), Cell,
           Entry});
  std::sort(Candidates.begin(), Candidates.end(), isBefore);
  return Candidates;
}

} // namespace

size_t maxCellsPerEntry(size_t Cells, size_t Entries) {
  return (totalCapacity(Cells) + Entries - 1) / Entries;
}

cell_owners::cell_owners(std::vector<cell_name> Cells,
                         std::vector<node_name> Entries)
    : Cells(std::move(Cells)), Entries(std::move(Entries)) {
  std::sort(this->Cells.begin(), this->Cells.end());
  std::sort(this->Entries.begin(), this->Entries.end());
  if (!this->Entries.empty())
    assign();
}

// In falling order of weight, each cell is assigned to the first entry with
// spare capacity. An entry that is full at that point would not get the cell
// either if the cell's owner were lost, so it comes last in the cell's order.
void cell_owners::assign() {
  std::vector<size_t> Room = capacitiesOf(Entries, Cells.size());
  std::vector<entry_order> Found(Cells.size());
  for (const candidate &Candidate : allCandidates(Cells, Entries)) {
    entry_order &Order = Found[Candidate.Cell];
    const node_name &Entry = Entries[Candidate.Entry];
    size_t &Left = Room[Candidate.Entry];
    if (Left == 0) {
      Order.Full.push_back(Entry);
      continue;
    }
    if (Order.WithRoom.empty())
      --Left;
    Order.WithRoom.push_back(Entry);
  }
  for (size_t Cell = 0; Cell < Cells.size(); ++Cell) {
    std::vector<node_name> Order = std::move(Found[Cell].WithRoom);
    const std::vector<node_name> &Full = Found[Cell].Full;
    Order.insert(Order.end(), Full.begin(), Full.end());
    Orders.emplace(Cells[Cell], std::move(Order));
  }
}

const std::vector<node_name> &
cell_owners::preferenceOrder(const cell_name &Cell) const {
  static const std::vector<node_name> None;
  auto Found = Orders.find(Cell);
  return Found == Orders.end() ? None : Found->second;
}

} // namespace monsoonreel
