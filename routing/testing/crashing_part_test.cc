#include "routing/testing/crashing_part_fleet.h"

namespace monsoonreel {
namespace {

// Numbers of zones and of entries in each.
class crashing_part_test
    : public crashing_part_fleet,
      public testing::WithParamInterface<std::pair<int, int>> {
protected:
  void startFleet() {
    crashing_part_fleet::startFleet(GetParam().first, GetParam().second);
  }
  void sendGroups(int Size, duration Gap) {
    for (int Group = 0; Group < 6; ++Group) {
      arriveTogether(deadly_part, Size);
      runUntil(Now + Gap);
    }
  }
};

TEST_P(crashing_part_test, Part_CrashesEngines_FleetHoldsItBack) {
  startFleet();
  taint({deadly_part}, 0.05);
  runUntil(36s);
  EXPECT_GE(Crashes.size(), 3u);
  EXPECT_LE(lateArrivals(deadly_part), allowed_after_contact);
  EXPECT_EQ(heldSound(), 0);
  expectSoundServed(22s, 34s);
}

// A part that comes first is also the first part of no sound request.
TEST_P(crashing_part_test, TwoParts_CrashEngines_FleetHoldsBoth) {
  startFleet();
  DeadlyPlace = 0;
  taint({deadly_part, deadly_part + 1}, 0.08);
  runUntil(40s);
  EXPECT_LE(lateArrivals(deadly_part), allowed_after_contact);
  EXPECT_LE(lateArrivals(deadly_part + 1), allowed_after_contact);
  EXPECT_EQ(heldSound(), 0);
  expectSoundServed(26s, 38s);
}

// The subject of other requests, one of them per entry.
TEST_P(crashing_part_test, RarePart_CrashesEngines_FleetHoldsItBack) {
  startFleet();
  DeadlyPlace = 2;
  taint({deadly_part}, 0.01);
  runUntil(60s);
  EXPECT_GE(Crashes.size(), 3u);
  EXPECT_LE(lateArrivals(deadly_part), allowed_after_contact);
  EXPECT_EQ(heldSound(), 0);
}

TEST_P(crashing_part_test, Zone_IsCutOff_FleetHoldsThePartBack) {
  startFleet();
  taint({deadly_part}, 0.05);
  runUntil(20s);
  CutZone = zone_name("z0");
  runUntil(30s);
  CutZone.reset();
  runUntil(40s);
  EXPECT_LE(lateArrivals(deadly_part), allowed_after_contact);
  expectSoundServed(26s, 38s);
}

// Guards against groups of requests whose crashes count as one (review/14).
TEST_P(crashing_part_test, Requests_ComeInFives_FleetHoldsThePartBack) {
  startFleet();
  sendGroups(5, 5s);
  EXPECT_LE(arrivalsAfterFifthCrash(), allowed_after_contact);
  EXPECT_EQ(heldSound(), 0);
}

TEST_P(crashing_part_test, Requests_ComeInEights_FleetHoldsThePartBack) {
  startFleet();
  sendGroups(8, 8s);
  EXPECT_LE(arrivalsAfterFifthCrash(), allowed_after_contact);
  EXPECT_EQ(heldSound(), 0);
}

// Upstreams of one zone fail together; their requests are unlike.
TEST_P(crashing_part_test, Engines_FailTogether_NothingIsHeldBack) {
  startFleet();
  for (int Round = 0; Round < 3; ++Round) {
    size_t Failing = Engines.size() / 3;
    for (auto It = Engines.begin(); Failing > 0; ++It, --Failing)
      crash(It->first);
    runUntil(Now + 10s);
  }
  EXPECT_EQ(heldSound(), 0);
}

// New processes hear of the part from the others.
TEST_P(crashing_part_test, Entries_AreKilledAndStartAgain_HoldThePartBack) {
  startFleet();
  taint({deadly_part}, 0.05);
  runUntil(20s);
  for (size_t I = 0; I < Entries.size(); I += 2)
    restartEntry(I);
  runUntil(24s);
  for (size_t I = 1; I < Entries.size(); I += 2)
    restartEntry(I);
  runUntil(38s);
  EXPECT_LE(lateArrivals(deadly_part), allowed_after_contact);
  EXPECT_EQ(heldSound(), 0);
  expectSoundServed(28s, 36s);
}

INSTANTIATE_TEST_SUITE_P(Sizes, crashing_part_test,
                         testing::Values(std::pair(1, 1), std::pair(4, 2),
                                         std::pair(3, 5), std::pair(5, 12),
                                         std::pair(5, 59)));

// Engines that crash for another reason.
TEST_F(crashing_part_fleet, Engines_CrashByThemselves_NothingIsHeldBack) {
  startFleet(4, 2);
  for (int Round = 0; Round < 15; ++Round) {
    for (int I = 0; I < 4; ++I)
      if (auto It = std::next(Engines.begin(),
                              static_cast<ptrdiff_t>(draw() % Engines.size()));
          !It->second.DownUntil)
        crash(It->first);
    runUntil(Now + 1s);
  }
  EXPECT_EQ(heldSound(), 0);
}

// The part does no harm any more, for example after a release.
TEST_F(crashing_part_fleet, Part_IsSoundAgain_IsServedAgain) {
  startFleet(4, 2);
  taint({deadly_part}, 0.05);
  runUntil(30s);
  EXPECT_EQ(servedTainted(0s), 0);
  IsDeadly = false;
  runUntil(240s);
  EXPECT_GT(servedTainted(0s), 0);
  duration From = Now;
  runUntil(Now + 20s);
  int Asked = 0;
  for (const auto &[Id, Call] : Calls)
    Asked += Call.Tainted && Call.At >= From && Call.At < Now - 2s ? 1 : 0;
  EXPECT_GE(servedTainted(From), Asked * 9 / 10);
}

// Hours of requests with the part cost few engines.
TEST_F(crashing_part_fleet, Part_StaysDeadly_IsTriedRarely) {
  startFleet(4, 2);
  CallsPerSecond = 20;
  taint({deadly_part}, 0.2);
  runUntil(600s);
  // In the first seconds, and then ever more rarely.
  EXPECT_LE(Crashes.size(), 20u);
  EXPECT_EQ(heldSound(), 0);
}

// Parts, places, shares and troubles at random. MONSOONREEL_PART_SEEDS sets how
// many seeds are played.
class crashing_part_random_test : public crashing_part_fleet,
                                  public testing::WithParamInterface<int> {
protected:
  void disturb() {
    size_t Index = draw() % Entries.size();
    switch (draw() % 6) {
    case 0:
      restartEntry(Index);
      break;
    case 1:
      Entries[Index].Frozen = !Entries[Index].Frozen;
      TouchedAt[Index] = Now;
      break;
    case 2:
      if (auto It = std::next(Engines.begin(),
                              static_cast<ptrdiff_t>(draw() % Engines.size()));
          !It->second.DownUntil)
        crash(It->first);
      break;
    case 3:
      CallsPerSecond = 30.0 + static_cast<double>(draw() % 120);
      break;
    case 4:
      StoreIsDown = !StoreIsDown;
      break;
    default:
      break;
    }
  }
};

TEST_P(crashing_part_random_test, Parts_AmongTroubles_AreHeldBack) {
  constexpr std::array<std::pair<int, int>, 3> sizes = {
      {{4, 2}, {3, 5}, {5, 12}}};
  Source.seed(static_cast<uint64_t>(GetParam()));
  auto [Zones, InZone] = sizes[static_cast<size_t>(GetParam()) % sizes.size()];
  startFleet(Zones, InZone);
  DeadlyPlace = static_cast<int>(draw() % 3);
  std::vector<uint64_t> Parts = {deadly_part};
  if (draw() % 2)
    Parts.push_back(deadly_part + 1);
  taint(Parts, 0.01 + 0.01 * static_cast<double>(draw() % 10));
  for (duration End = 13s; End <= 52s; End += 1s) {
    disturb();
    runUntil(End);
  }
  for (uint64_t Part : Parts)
    EXPECT_LE(lateArrivals(Part), allowed_after_contact) << Part;
}

int seedCount() {
  const char *Text = std::getenv("MONSOONREEL_PART_SEEDS");
  return Text ? std::stoi(Text) : 6;
}

INSTANTIATE_TEST_SUITE_P(Seeds, crashing_part_random_test,
                         testing::Range(1, 1 + seedCount()));

} // namespace
} // namespace monsoonreel
