#include "routing/engine_choice.h"

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

// Nine engines of one zone with 16 slots. The model has learned nothing, so an
// engine reads 60 tokens in a millisecond and makes an event in 40 ms.
class engine_choice_test : public testing::Test {
protected:
  engine_choice_test() {
    for (int I = 0; I < 9; ++I) {
      upstream_entry Entry;
      Entry.Name = engine(I);
      Entry.Service = Service;
      Entry.Zone = Zone;
      Registry.onListed({Entry.Name.Value, Entry, false}, at(0ms));
    }
  }

  static upstream_name engine(int I) {
    return upstream_name("u" + std::to_string(I));
  }
  static prompt_info longPrompt(int Tokens, uint64_t Subject = 77) {
    return {"m", 6300 + Tokens, 60, {{1, 2500}, {Subject, 3800}, {9, Tokens}}};
  }
  static prompt_info shortPrompt() {
    return {"m", 800, 300, {{2, 120}, {3, 680}}};
  }
  void load(int I, int Running, int64_t Unread, bool Paced) {
    for (int R = 0; R < Running; ++R)
      Load.begin(attempt_number{++Attempts}, engine(I),
                 {R == 0 ? Unread : 0, Paced});
  }
  placement_query query(const prompt_info &Prompt) const {
    placement_query Query{Registry.serving(Service),
                          Zone,
                          &Prompt,
                          isPaced(Prompt),
                          Tried,
                          at(0ms),
                          1,
                          16};
    Query.Model = &Model;
    Query.Target = 400ms;
    Query.Pause = 300ms;
    Query.StrictestPause = 200ms;
    Query.CacheIsExact = true;
    Query.Urgent = Query.Paced;
    Query.Terms = &Terms;
    return Query;
  }
  placement choose(const prompt_info &Prompt) const {
    return *choosePlacement(query(Prompt),
                            {Load, Cache, FailureTracker, Limits, nullptr,
                             &Fetches, &Registry.draining(Service)});
  }
  std::string nameFor(const prompt_info &Prompt) const {
    return choose(Prompt).Upstream->Entry.Name.Value;
  }
  // Lets the engines fetch. Returns the home of a subject, which has read it.
  const upstream_state *readAtHome() {
    Terms = {16, 0, 1, 18432, 22.5e6};
    const upstream_state *Home = choose(Long).Upstream;
    Cache.onDispatched(Home->Entry.Name, Long, at(0ms));
    return Home;
  }

  const pool_name Service{"chat"};
  const zone_name Zone{"z"};
  upstream_registry Registry;
  upstream_load Load;
  prompt_cache_view Cache;
  upstream_limits Limits{"e"};
  upstream_failure_tracker FailureTracker;
  engine_model Model;
  const prompt_info Long = longPrompt(2700);
  engine_terms Terms; // engines cannot fetch
  prompt_fetches Fetches;
  std::vector<upstream_name> Tried;
  int64_t Attempts = 0;
};

// Guards against streams that pause because a prompt is read beside them:
// within a pause of 200 ms an engine reads 9,600 tokens.
TEST_F(engine_choice_test, LongPrompt_StreamsEverywhereButOnOne_GoesToThatOne) {
  for (int I = 0; I < 9; ++I)
    load(I, I == 4 ? 0 : 6, 0, true);
  EXPECT_EQ(nameFor(longPrompt(9000)), "u4");
}

// Guards against a prompt that is read beside streams although another engine
// could read it a little later without harm.
TEST_F(engine_choice_test,
       LongPrompt_OnlyEngineWithoutStreamsReads_WaitsThere) {
  for (int I = 0; I < 9; ++I)
    load(I, I == 4 ? 1 : 6, I == 4 ? 6000 : 0, I != 4);
  EXPECT_EQ(nameFor(longPrompt(6000)), "u4");
}

TEST_F(engine_choice_test, PacedStream_EnginesReadPrompts_AvoidsThem) {
  for (int I = 0; I < 9; ++I)
    load(I, 1, I == 7 ? 0 : 12000, false);
  EXPECT_EQ(nameFor(shortPrompt()), "u7");
}

// Guards against queues at one engine while others have free slots.
TEST_F(engine_choice_test, PacedStream_SlotsTakenOnAllButOne_GoesThere) {
  for (int I = 0; I < 9; ++I)
    load(I, I == 2 ? 12 : 16, 0, true);
  EXPECT_EQ(nameFor(shortPrompt()), "u2");
}

// Guards against streams that are late if the engine is slow for a moment: the
// budget for a pause of 200 ms, 9,600 tokens, is twice the prompt.
TEST_F(engine_choice_test, LongPrompt_ManyStreamsWithinBudget_GoesElsewhere) {
  for (int I = 0; I < 9; ++I)
    load(I, I == 4 ? 1 : 14, I == 4 ? 4000 : 0, I != 4);
  EXPECT_EQ(nameFor({"m", 4500, 60, {{1, 800}, {77, 800}, {9, 2900}}}), "u4");
}

// Guards against a wait for prompts to end while streams end sooner elsewhere.
TEST_F(engine_choice_test, PacedStream_SlotsFull_GoesWhereStreamsEndSoon) {
  for (int I = 0; I < 400; ++I)
    Model.onSlotHeld(Service, I % 2 == 0, I % 2 == 0 ? 400ms : 3s, at(0ms));
  for (int Soon = 0; Soon < 9; ++Soon) {
    Load = upstream_load();
    for (int I = 0; I < 9; ++I)
      load(I, 16, 0, I == Soon);
    EXPECT_EQ(nameFor(shortPrompt()), engine(Soon).Value);
  }
}

// Guards against a subject that leaves the engine that has it cached for a
// wait that is shorter than reading it again.
TEST_F(engine_choice_test, Subject_HomeReadsBriefly_IsNotReadAgain) {
  std::string Home = nameFor(longPrompt(2700));
  Cache.onDispatched(upstream_name(Home), longPrompt(2700), at(0ms));
  load(Home[1] - '0', 1, 3000, false);
  EXPECT_EQ(nameFor(longPrompt(2700)), Home);
}

TEST_F(engine_choice_test, Subject_HomeReadsForLong_IsReadElsewhere) {
  std::string Home = nameFor(longPrompt(2700));
  Cache.onDispatched(upstream_name(Home), longPrompt(2700), at(0ms));
  load(Home[1] - '0', 1, 40000, false);
  EXPECT_NE(nameFor(longPrompt(2700)), Home);
}

// Guards against requests that wait at engines until they are late, and delay
// those behind them.
TEST_F(engine_choice_test, EveryEngineFull_LessUrgentIsRefusedFirst) {
  prompt_info Short = shortPrompt();
  EXPECT_FALSE(shouldRefuse(query(Long), choose(Long)));
  for (int I = 0; I < 9; ++I)
    load(I, 16, 0, true);
  EXPECT_TRUE(shouldRefuse(query(Long), choose(Long)));
  EXPECT_FALSE(shouldRefuse(query(Short), choose(Short)));
  for (int I = 0; I < 9; ++I)
    load(I, 8, 0, true);
  EXPECT_TRUE(shouldRefuse(query(Short), choose(Short)));
}

// Guards against a refusal while other engines are idle: the home, which has
// the subject cached, is the cheapest one, but has no free slot.
TEST_F(engine_choice_test, Subject_HomeFullOthersIdle_IsNotRefused) {
  std::string Home = nameFor(longPrompt(2700));
  Cache.onDispatched(upstream_name(Home), longPrompt(2700), at(0ms));
  load(Home[1] - '0', 16, 0, false);
  EXPECT_FALSE(shouldRefuse(query(Long), choose(Long)));
  EXPECT_NE(nameFor(Long), Home);
}

// Guards against a model that refuses everything and so learns nothing.
TEST_F(engine_choice_test, EnginesIdle_HugePrompt_IsNotRefused) {
  prompt_info Huge = longPrompt(200000);
  EXPECT_FALSE(shouldRefuse(query(Huge), choose(Huge)));
}

// Guards against refusals by entries that know only a part of the load.
TEST_F(engine_choice_test, LoadIsStale_NoRequestIsRefused) {
  for (int I = 0; I < 9; ++I)
    load(I, 1, 90000, false);
  placement_query Query = query(Long);
  Query.LoadIsStale = true;
  EXPECT_FALSE(shouldRefuse(Query, choose(Long)));
}

// Guards against a subject that is read again, against a fetch although its
// home has room, and against one that takes longer than prefill (105 ms).
TEST_F(engine_choice_test, Subject_HomeFull_IsFetchedIfThatIsQuicker) {
  const upstream_state *Home = readAtHome();
  EXPECT_EQ(choose(Long).FetchFrom, nullptr);
  load(Home->Entry.Name.Value[1] - '0', 16, 0, false);
  EXPECT_NE(choose(Long).Upstream, Home);
  EXPECT_EQ(choose(Long).FetchFrom, Home);
  EXPECT_EQ(choose(Long).FetchTokens, 6300);
  EXPECT_EQ(choose(Long).UnreadTokens, 2700);
  Terms.LinkBytesPerMs = 1e6;
  EXPECT_EQ(choose(Long).FetchFrom, nullptr);
}

// Guards against the loss of what a draining engine has read, and against a
// wait for one that cannot be reached.
TEST_F(engine_choice_test, Subject_HomeDrains_IsFetchedUnlessItIsPaused) {
  const upstream_state *Home = readAtHome();
  upstream_entry Entry = Home->Entry;
  Entry.Draining = true;
  Registry.onListed({Entry.Name.Value, Entry, false}, at(0ms));
  ASSERT_EQ(choose(Long).FetchFrom, Home);
  FailureTracker.onUnreachable(Entry.Name, Zone, at(0ms));
  EXPECT_EQ(choose(Long).FetchFrom, nullptr);
}

// Guards against a source in a region that the caller's organisation does not
// allow, and against one that has just failed for this request.
TEST_F(engine_choice_test, Subject_HomeDrainsAndIsExcluded_IsNotFetched) {
  upstream_entry Entry = readAtHome()->Entry;
  Entry.Draining = true;
  Entry.Zone = zone_name("far");
  Registry.onListed({Entry.Name.Value, Entry, false}, at(0ms));
  region_rule Regions({{Zone, region_name("eu")}}, {{region_name("eu")}}, {});
  placement_query Query = query(Long);
  const auto &Draining = Registry.draining(Service);
  placement_inputs Inputs{Load,    Cache,    FailureTracker, Limits,
                          nullptr, &Fetches, &Draining};
  ASSERT_TRUE(choosePlacement(Query, Inputs)->FetchFrom);
  Query.Regions = &Regions;
  EXPECT_FALSE(choosePlacement(Query, Inputs)->FetchFrom);
  Query.Regions = nullptr;
  Tried.push_back(Entry.Name);
  EXPECT_FALSE(choosePlacement(Query, Inputs)->FetchFrom);
}

// Guards against load counts below zero: the caller states fewer tokens of the
// prompt than of its parts, and another entry names a holder.
TEST_F(engine_choice_test, Subject_PartsExceedThePrompt_LeavesNoTokens) {
  const upstream_state *Home = readAtHome();
  load(Home->Entry.Name.Value[1] - '0', 16, 0, false);
  Cache.forget(Home->Entry.Name);
  prompt_info Prompt{"m", 6000, 60, {{1, 5000}, {2, 3800}, {9, 2700}}};
  placement_query Query = query(Prompt);
  Query.KnownHolder = Home;
  placement Chosen = *choosePlacement(
      Query, {Load, Cache, FailureTracker, Limits, nullptr, &Fetches});
  EXPECT_EQ(Chosen.FetchFrom, Home);
  EXPECT_EQ(Chosen.UnreadTokens, 0);
}

TEST_F(engine_choice_test, EnginesForPaced_ManyStreams_LeaveSomeForPrompts) {
  EXPECT_EQ(engineCountForPaced(0, 16, 9), 1u);
  EXPECT_EQ(engineCountForPaced(22, 16, 90), 2u);
  EXPECT_EQ(engineCountForPaced(5000, 16, 90), 72u);
  EXPECT_EQ(engineCountForPaced(1, 16, 1), 0u);
}

} // namespace
} // namespace monsoonreel
