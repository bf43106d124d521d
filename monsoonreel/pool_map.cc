#include "monsoonreel/pool_map.h"

#include <algorithm>
#include <utility>

namespace monsoonreel {

namespace {

using pool_in_zone = std::pair<pool_name, zone_name>;

cell_name nameOf(const pool_in_zone &PoolInZone, size_t Number) {
  return cell_name(PoolInZone.first.Value + "@" + PoolInZone.second.Value +
                   "#" + std::to_string(Number));
}

// Distributes Members round-robin over the smallest possible number of cells,
// so that the sizes of the cells differ by at most one and cheap upstreams are
// spread evenly.
void addCells(const pool_in_zone &PoolInZone, std::vector<upstream> Members,
              std::map<cell_name, cell> &Cells) {
  std::stable_sort(
      Members.begin(), Members.end(),
      [](const upstream &A, const upstream &B) { return A.Cheap < B.Cheap; });
  size_t Count = (Members.size() + max_cell_upstreams - 1) / max_cell_upstreams;
  for (size_t Number = 0; Number < Count; ++Number) {
    cell Cell;
    Cell.Name = nameOf(PoolInZone, Number);
    Cell.Pool = PoolInZone.first;
    Cell.Zone = PoolInZone.second;
    for (size_t I = Number; I < Members.size(); I += Count)
      Cell.Upstreams.push_back(Members[I]);
    std::sort(
        Cell.Upstreams.begin(), Cell.Upstreams.end(),
        [](const upstream &A, const upstream &B) { return A.Name < B.Name; });
    cell_name Name = Cell.Name;
    Cells.emplace(std::move(Name), std::move(Cell));
  }
}

} // namespace

int cell::concurrency() const {
  int Sum = 0;
  for (const upstream &Member : Upstreams)
    Sum += Member.Concurrency;
  return Sum;
}

bool cell::hasReliable() const {
  return std::any_of(Upstreams.begin(), Upstreams.end(),
                     [](const upstream &Member) { return !Member.Cheap; });
}

pool_map pool_map::fromConfiguration(const configuration &Configuration) {
  std::map<pool_in_zone, std::vector<upstream>> Members;
  for (const auto &[Name, Member] : Configuration.Upstreams)
    Members[{Member.Pool, Member.Zone}].push_back(Member);
  pool_map Map;
  for (auto &[PoolInZone, Group] : Members)
    addCells(PoolInZone, std::move(Group), Map.Cells);
  return Map;
}

std::vector<const cell *> pool_map::cellsOf(const pool_name &Pool,
                                            const zone_name &Zone) const {
  std::vector<const cell *> Found;
  for (size_t Number = 0;; ++Number) {
    const cell *Next = find(nameOf({Pool, Zone}, Number));
    if (!Next)
      return Found;
    Found.push_back(Next);
  }
}

std::vector<const cell *> pool_map::cellsOutside(const pool_name &Pool,
                                                 const zone_name &Zone) const {
  std::vector<const cell *> Found;
  for (const auto &[Name, Cell] : Cells)
    if (Cell.Pool == Pool && Cell.Zone != Zone)
      Found.push_back(&Cell);
  return Found;
}

const cell *pool_map::find(const cell_name &Name) const {
  auto Found = Cells.find(Name);
  return Found == Cells.end() ? nullptr : &Found->second;
}

} // namespace monsoonreel
