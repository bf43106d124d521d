#include "routing/placement.h"

#include <map>
#include <set>

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class placement_test : public testing::Test {
protected:
  placement_test() {
    for (int I = 0; I < 9; ++I) {
      upstream_entry Entry;
      Entry.Name = upstream_name("u" + std::to_string(I));
      Entry.Service = Service;
      Entry.Zone = zone_name("z" + std::to_string(I % 3));
      Registry.onListed({Entry.Name.Value, Entry, false}, at(0ms));
    }
  }

  static prompt_info longPrompt(uint64_t Subject, uint64_t Own) {
    return {"m", 9000, 60, {{1, 2500}, {Subject, 3800}, {Own, 2700}}};
  }
  static prompt_info shortPrompt(uint64_t Own) {
    return {"m", 800, 300, {{2, 120}, {3, 80}, {Own, 600}}};
  }

  std::optional<placement> choose(const prompt_info *Prompt,
                                  const char *Zone = "z0",
                                  uint64_t Random = 0) {
    return choosePlacement({Registry.serving(Service), zoneOf(Zone), Prompt,
                            Prompt && isPaced(*Prompt), Tried, at(Now), Random,
                            Slots, LoadIsStale},
                           {Load, Cache, FailureTracker, Limits});
  }
  // Chooses an upstream and counts the request as running there.
  std::string place(const prompt_info &Prompt) {
    auto Chosen = choose(&Prompt);
    const upstream_name &Name = Chosen->Upstream->Entry.Name;
    Load.begin(attempt_number{++Attempts}, Name,
               {Chosen->UnreadTokens, isPaced(Prompt)});
    if (isPaced(Prompt)) // short prompts are read before the next one arrives
      Load.onFirstAnswer(attempt_number{Attempts});
    Cache.onDispatched(Name, Prompt, at(Now));
    return Name.Value;
  }
  const zone_name &zoneOf(const char *Name) {
    return *Zones.insert(zone_name(Name)).first;
  }

  const pool_name Service{"chat"};
  upstream_registry Registry;
  upstream_load Load;
  prompt_cache_view Cache;
  upstream_limits Limits{"e"};
  upstream_failure_tracker FailureTracker;
  std::vector<upstream_name> Tried;
  std::set<zone_name> Zones;
  duration Now = 0ms;
  int64_t Attempts = 0;
  int Slots = 128;
  bool LoadIsStale = false;
};

TEST_F(placement_test, Upstreams_None_ChoosesNothing) {
  Tried.clear();
  for (int I = 0; I < 9; ++I)
    Tried.emplace_back("u" + std::to_string(I));
  EXPECT_FALSE(choose(nullptr));
}

TEST_F(placement_test, Subject_RequestedAgain_StaysWhereItIsCached) {
  std::string First = place(longPrompt(77, 100));
  Load.end(attempt_number{1});
  for (uint64_t Own = 101; Own < 110; ++Own) {
    EXPECT_EQ(place(longPrompt(77, Own)), First);
    Load.end(attempt_number{Attempts});
  }
}

TEST_F(placement_test, Subject_KnownToNoEntry_GoesToTheSameHomeFromEveryOne) {
  std::set<std::string> Homes;
  for (const char *Zone : {"z0", "z1", "z2"}) {
    prompt_info Prompt = longPrompt(77, 100);
    Homes.insert(choose(&Prompt, Zone)->Upstream->Entry.Name.Value);
  }
  EXPECT_EQ(Homes.size(), 1u);
}

// One subject gets a large part of the traffic. The first event is due after
// 600 ms, of which about 100 ms are spent elsewhere; the slowest engines read
// 57 tokens per millisecond.
TEST_F(placement_test, Subject_Hot_SpreadsBeforeItsQueueGrowsLong) {
  std::map<std::string, int> Placed;
  for (uint64_t Own = 100; Own < 130; ++Own)
    ++Placed[place(longPrompt(77, Own))];
  EXPECT_GE(Placed.size(), 3u);
  for (const auto &[Name, Count] : Placed)
    EXPECT_LE(Load.at(upstream_name(Name)).UnreadTokens, 500 * 57) << Name;
}

// Paced streams and long prompts run at the same time.
TEST_F(placement_test, PacedStreams_BesideLongPrompts_ShareFewUpstreams) {
  std::set<std::string> Paced;
  for (uint64_t Own = 0; Own < 20; ++Own)
    Paced.insert(place(shortPrompt(1000 + Own)));
  EXPECT_LE(Paced.size(), 3u);
  int Disturbing = 0;
  for (uint64_t Subject = 0; Subject < 40; ++Subject) {
    std::string Name = place(longPrompt(500 + Subject, 9000 + Subject));
    Disturbing += Load.at(upstream_name(Name)).PacedStreams > 2 ? 1 : 0;
    Load.end(attempt_number{Attempts});
  }
  EXPECT_LE(Disturbing, 4);
}

// Many entries choose before any of them receives another's choice.
TEST_F(placement_test, Entries_WithStaleReports_DontAllChooseTheSame) {
  LoadIsStale = true;
  for (int I = 0; I < 60; ++I) // several engines are reserved
    Load.begin(attempt_number{++Attempts}, upstream_name("u0"), {0, true});
  std::map<std::string, int> Chosen;
  prompt_info Prompt = shortPrompt(1);
  for (uint64_t Random = 1; Random <= 40; ++Random)
    ++Chosen[choose(&Prompt, "z0", Random * 0x9e3779b97f4a7c15)
                 ->Upstream->Entry.Name.Value];
  EXPECT_GE(Chosen.size(), 2u);
  for (const auto &[Name, Count] : Chosen)
    EXPECT_LE(Count, 30) << Name;
  std::map<std::string, int> Services;
  for (uint64_t Random = 1; Random <= 40; ++Random)
    ++Services[choose(nullptr, "z0", Random)->Upstream->Entry.Name.Value];
  EXPECT_GE(Services.size(), 5u);
}

// Paced streams run on engines with few slots.
TEST_F(placement_test, PacedStreams_OnEnginesWithFewSlots_LeaveSlotsFree) {
  Slots = 24;
  for (uint64_t Own = 0; Own < 48; ++Own)
    place(shortPrompt(1000 + Own));
  for (const upstream_state *Each : Registry.serving(Service))
    EXPECT_LE(Load.at(Each->Entry.Name).Running, 18) << Each->Entry.Name.Value;
}

TEST_F(placement_test, Engine_Full_IsLeftWhenItsQueueCostsMoreThanReading) {
  Slots = 4;
  std::string First = place(longPrompt(77, 100));
  for (int I = 0; I < 10; ++I)
    Load.begin(attempt_number{++Attempts}, upstream_name(First), {});
  for (int I = 1; I <= Attempts; ++I)
    Load.onFirstAnswer(attempt_number{I}); // no unread tokens are left there
  EXPECT_NE(place(longPrompt(77, 101)), First);
}

TEST_F(placement_test, Upstream_Paused_IsUsedOnlyWhenNothingElseIsLeft) {
  prompt_info Prompt = longPrompt(77, 100);
  std::string Home = choose(&Prompt)->Upstream->Entry.Name.Value;
  FailureTracker.onUnreachable(upstream_name(Home), zone_name("z0"), at(0ms));
  EXPECT_NE(choose(&Prompt)->Upstream->Entry.Name.Value, Home);
  for (int I = 0; I < 9; ++I)
    FailureTracker.onUnreachable(upstream_name("u" + std::to_string(I)),
                                 zone_name("z" + std::to_string(I % 3)),
                                 at(0ms));
  EXPECT_TRUE(choose(&Prompt));
}

TEST_F(placement_test, Upstream_FailingOften_IsAvoided) {
  prompt_info Prompt = longPrompt(77, 100);
  upstream_name Home = choose(&Prompt)->Upstream->Entry.Name;
  for (int I = 0; I < 10; ++I)
    FailureTracker.onAnswer(Home, zone_name("z0"), true, at(0ms));
  EXPECT_NE(choose(&Prompt)->Upstream->Entry.Name, Home);
}

TEST_F(placement_test, PlainRequests_LeastBusyUpstreamNearby) {
  Load.begin(attempt_number{1}, upstream_name("u0"), {});
  Load.begin(attempt_number{2}, upstream_name("u3"), {});
  EXPECT_EQ(choose(nullptr)->Upstream->Entry.Name.Value, "u6");
}

TEST_F(placement_test, PlainRequests_NearbyOnesBusy_GoToAnotherZone) {
  int64_t Attempt = 0;
  for (const char *Name : {"u0", "u3", "u6"})
    for (int I = 0; I < 2; ++I)
      Load.begin(attempt_number{++Attempt}, upstream_name(Name), {});
  EXPECT_NE(choose(nullptr)->Upstream->Entry.Zone.Value, "z0");
}

TEST_F(placement_test, PlainRequests_EqualUpstreams_TakeTurns) {
  std::set<std::string> Chosen;
  for (uint64_t Random = 0; Random < 9; ++Random)
    Chosen.insert(choose(nullptr, "z0", Random)->Upstream->Entry.Name.Value);
  EXPECT_EQ(Chosen.size(), 3u);
}

} // namespace
} // namespace monsoonreel
