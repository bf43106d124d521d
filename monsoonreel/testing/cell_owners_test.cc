#include "monsoonreel/cell_owners.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace monsoonreel {
namespace {

constexpr int zones = 7;
constexpr int pools = 4;
constexpr int fewest_entries = 8;
constexpr int most_entries = 60;
// Entries of one zone at the design size of 330 entries.
constexpr int design_entries = 330 / zones;

// The cells of 600 servers in 7 zones, and any number of entries.
class cell_owners_test : public ::testing::Test {
protected:
  cell_owners_test() {
    configuration Configuration;
    for (int I = 0; I < 600; ++I) {
      upstream Member;
      Member.Name = upstream_name("upstream" + std::to_string(I));
      Member.Pool = pool_name("model" + std::to_string(I % pools));
      Member.Zone = zone_name("zone" + std::to_string(I / pools % zones));
      Configuration.Upstreams[Member.Name] = Member;
    }
    pool_map Map = pool_map::fromConfiguration(Configuration);
    for (const auto &[Name, Cell] : Map.all())
      Cells[Cell.Zone].push_back(Name);
  }

  static std::vector<node_name> entries(int Zone, int Count) {
    std::vector<node_name> Names;
    Names.reserve(static_cast<size_t>(Count));
    for (int I = 0; I < Count; ++I)
      Names.emplace_back("entry" + std::to_string(I * zones + Zone));
    return Names;
  }
  const std::vector<cell_name> &cellsOf(int Zone) const {
    return Cells.at(zone_name("zone" + std::to_string(Zone)));
  }
  cell_owners owners(int Zone, int Count) const {
    return {cellsOf(Zone), entries(Zone, Count)};
  }
  // The owners after the entry Lost has left.
  static cell_owners without(const cell_owners &Before, const node_name &Lost) {
    std::vector<node_name> Rest = Before.entries();
    std::erase(Rest, Lost);
    return {Before.cells(), Rest};
  }
  static size_t maxOwned(const cell_owners &Owners) {
    std::map<node_name, size_t> Owned;
    size_t Most = 0;
    for (const cell_name &Cell : Owners.cells())
      Most = std::max(Most, ++Owned[Owners.preferenceOrder(Cell).at(0)]);
    return Most;
  }
  static int moved(const cell_owners &Before, const cell_owners &After) {
    int Count = 0;
    for (const cell_name &Cell : Before.cells())
      Count += Before.preferenceOrder(Cell).at(0) !=
               After.preferenceOrder(Cell).at(0);
    return Count;
  }

  std::map<zone_name, std::vector<cell_name>> Cells;
};

TEST_F(cell_owners_test, Owners_AnyNumberOfEntries_StayWithinTheBound) {
  for (int Count = fewest_entries; Count <= most_entries; ++Count)
    for (int Zone = 0; Zone < zones; ++Zone) {
      // 24 cells plus 25 % slack, divided by the entries and rounded up.
      ASSERT_EQ(cellsOf(Zone).size(), 24U);
      size_t Bound = static_cast<size_t>((30 + Count - 1) / Count);
      EXPECT_LE(maxOwned(owners(Zone, Count)), Bound) << Count << " entries";
      EXPECT_EQ(maxCellsPerEntry(24, static_cast<size_t>(Count)), Bound);
    }
  EXPECT_EQ(maxOwned(owners(0, design_entries)), 1U);
}

// The same cells move when an entry joins as when it leaves, so only leaving is
// tested.
TEST_F(cell_owners_test, EntryLost_FewCellsMoveBesidesItsOwn) {
  constexpr double OthersShare = 1.0 / 12;
  constexpr int MostAtOnce = 9;
  for (int Count = fewest_entries; Count <= most_entries; ++Count) {
    int Moved = 0;
    int Possible = 0;
    for (int Zone = 0; Zone < zones; ++Zone) {
      cell_owners Before = owners(Zone, Count);
      for (const node_name &Lost : Before.entries()) {
        int Now = moved(Before, without(Before, Lost));
        EXPECT_LE(Now, MostAtOnce) << Count << " entries, " << Lost.Value;
        Moved += Now;
        Possible += static_cast<int>(Before.cells().size());
      }
    }
    EXPECT_LE(static_cast<double>(Moved) / Possible, 1.0 / Count + OthersShare)
        << Count << " entries";
  }
}

TEST_F(cell_owners_test, OwnerLost_SecondInOrder_IsTheNewOwner) {
  cell_owners Before = owners(0, design_entries);
  for (const cell_name &Cell : Before.cells()) {
    const std::vector<node_name> &Order = Before.preferenceOrder(Cell);
    EXPECT_EQ(without(Before, Order.at(0)).preferenceOrder(Cell).at(0),
              Order.at(1));
  }
}

TEST_F(cell_owners_test, Order_EntriesInAnotherOrder_IsTheSame) {
  std::vector<node_name> Reversed = entries(0, 12);
  std::reverse(Reversed.begin(), Reversed.end());
  cell_owners Owners = owners(0, 12);
  cell_owners Other(cellsOf(0), Reversed);
  for (const cell_name &Cell : Owners.cells())
    EXPECT_EQ(Owners.preferenceOrder(Cell), Other.preferenceOrder(Cell));
}

TEST_F(cell_owners_test, Order_NoEntriesOrUnknownCell_IsEmpty) {
  EXPECT_TRUE(
      cell_owners(cellsOf(0), {}).preferenceOrder(cellsOf(0)[0]).empty());
  EXPECT_TRUE(owners(0, 8).preferenceOrder(cellsOf(1)[0]).empty());
}

} // namespace
} // namespace monsoonreel
