// The owners of cells: the time to find them, how many cells one entry gets,
// and how many move when an entry is lost.

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "bench/bench_site.h"
#include "monsoonreel/cell_owners.h"
#include "monsoonreel/pool_map.h"
#include "monsoonreel/rendezvous.h"

namespace monsoonreel {
namespace {

using owner_of_cell = std::map<cell_name, node_name>;

owner_of_cell boundedOwners(const std::vector<cell_name> &Cells,
                            const std::vector<node_name> &Entries) {
  cell_owners Owners(Cells, Entries);
  owner_of_cell Found;
  for (const cell_name &Cell : Cells)
    Found[Cell] = Owners.preferenceOrder(Cell).front();
  return Found;
}

// Without a bound, for comparison.
owner_of_cell unboundedOwners(const std::vector<cell_name> &Cells,
                              const std::vector<node_name> &Entries) {
  owner_of_cell Found;
  for (const cell_name &Cell : Cells)
    Found[Cell] =
        *std::max_element(Entries.begin(), Entries.end(),
                          [&](const node_name &A, const node_name &B) {
                            return rendezvousWeight(Cell.Value, A.Value) <
                                   rendezvousWeight(Cell.Value, B.Value);
                          });
  return Found;
}

struct ownership_figures {
  size_t MostCells = 0;  // of one entry
  double MovedShare = 0; // of the cells when an entry is lost, mean
  double MostMovedShare = 0;
};

template <typename Assign>
void addLosses(const std::vector<cell_name> &Cells,
               const std::vector<node_name> &Entries, Assign OwnersOf,
               ownership_figures &Figures) {
  owner_of_cell Before = OwnersOf(Cells, Entries);
  std::map<node_name, size_t> Owned;
  for (const auto &[Cell, Owner] : Before)
    Figures.MostCells = std::max(Figures.MostCells, ++Owned[Owner]);
  for (const node_name &Lost : Entries) {
    std::vector<node_name> Rest = Entries;
    std::erase(Rest, Lost);
    owner_of_cell After = OwnersOf(Cells, Rest);
    double Moved = 0;
    for (const auto &[Cell, Owner] : Before)
      Moved += After.at(Cell) != Owner;
    double Share = Moved / static_cast<double>(Cells.size());
    Figures.MostMovedShare = std::max(Figures.MostMovedShare, Share);
    Figures.MovedShare += Share / static_cast<double>(Entries.size()) / zones;
  }
}

// The owners of the cells of all zones, with so many entries in each zone.
void assignOwners(benchmark::State &State) {
  pool_map Map = pool_map::fromConfiguration(makeConfiguration(600));
  std::map<zone_name, std::vector<cell_name>> Cells;
  for (const auto &[Name, Cell] : Map.all())
    Cells[Cell.Zone].push_back(Name);
  std::map<zone_name, std::vector<node_name>> Entries;
  for (int Zone = 0; Zone < zones; ++Zone)
    for (int I = 0; I < State.range(0); ++I)
      Entries[zone_name("zone" + std::to_string(Zone))].emplace_back(
          "entry" + std::to_string(I * zones + Zone));
  while (State.KeepRunning())
    for (const auto &[Zone, CellsOfZone] : Cells)
      benchmark::DoNotOptimize(cell_owners(CellsOfZone, Entries.at(Zone)));
  ownership_figures Bounded;
  ownership_figures Unbounded;
  for (const auto &[Zone, CellsOfZone] : Cells) {
    addLosses(CellsOfZone, Entries.at(Zone), boundedOwners, Bounded);
    addLosses(CellsOfZone, Entries.at(Zone), unboundedOwners, Unbounded);
  }
  State.counters["most_cells"] = static_cast<double>(Bounded.MostCells);
  State.counters["moved_share"] = Bounded.MovedShare;
  State.counters["most_moved_share"] = Bounded.MostMovedShare;
  State.counters["unbounded_most_cells"] =
      static_cast<double>(Unbounded.MostCells);
  State.counters["unbounded_moved_share"] = Unbounded.MovedShare;
  State.counters["unbounded_most_moved_share"] = Unbounded.MostMovedShare;
}
BENCHMARK(assignOwners)
    ->DenseRange(8, 60)
    ->Unit(benchmark::kMicrosecond)
    ->MinTime(0.02);

} // namespace
} // namespace monsoonreel
