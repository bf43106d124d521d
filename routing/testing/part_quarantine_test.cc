#include "routing/part_quarantine.h"

#include <limits>

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

constexpr uint64_t common = 1;
constexpr uint64_t deadly = 77;

class part_quarantine_test : public testing::Test {
protected:
  part_quarantine_test() {
    for (part_quarantine *Each : {&Quarantine, &Other}) {
      Each->setReportDelay(200ms);
      Each->onTick(at(0ms), trueTime(0ms));
    }
    Quarantine.setEntries({"b"});
    Other.setEntries({"a"});
  }

  static wall_time trueTime(duration Now) { return wall_time(24h) + Now; }
  static prompt_info prompt(const std::vector<uint64_t> &Shared) {
    prompt_info Prompt;
    for (uint64_t Part : Shared)
      Prompt.Parts.push_back({Part, 100});
    Prompt.Parts.push_back({++LastOwnPart, 100});
    return Prompt;
  }
  static upstream_instance run(const std::string &Name, int64_t Start = 1) {
    return {upstream_name(Name), std::chrono::milliseconds(Start)};
  }
  // Each crash ends another run.
  void crash(duration Now, const std::vector<uint64_t> &Parts) {
    Quarantine.onBroken(run("u" + std::to_string(++Crashes)), prompt(Parts),
                        at(Now));
  }
  void tick(duration Now) { Quarantine.onTick(at(Now), trueTime(Now)); }
  bool isHeld(uint64_t Part, duration Now) const {
    return Quarantine.heldBack(prompt({Part}), trueTime(Now)).has_value();
  }
  // Ten upstreams at one moment, all with requests with these parts.
  void failRack(const std::vector<uint64_t> &Parts) {
    for (int I = 0; I < 10; ++I)
      crash(1s + I * 10ms, Parts);
  }
  void expectNothingHeld() {
    for (duration Now = 1200ms; Now < 6s; Now += 100ms) {
      tick(Now);
      ASSERT_EQ(Quarantine.held(), 0u) << Now / 1ms;
    }
  }
  // Three crashes, one a second, from 1 s on.
  void convict() {
    for (duration Now : {1s, 2s, 3s})
      crash(Now, {common, deadly});
    tick(4s);
    ASSERT_TRUE(isHeld(deadly, 4s));
  }

  static inline uint64_t LastOwnPart = 1000;
  part_quarantine Quarantine{"a"};
  part_quarantine Other{"b"};
  int Crashes = 0;
};

TEST_F(part_quarantine_test, Part_OpenAtEachCrash_IsHeldBack) {
  crash(1s, {common, deadly});
  Quarantine.onSound(prompt({common}), at(1500ms), at(1600ms));
  crash(2s, {common, deadly});
  tick(3s);
  EXPECT_FALSE(isHeld(deadly, 3s));
  crash(3s, {common, deadly});
  tick(3100ms);
  EXPECT_FALSE(isHeld(deadly, 3100ms)); // reports may be under way
  tick(3300ms);
  EXPECT_TRUE(isHeld(deadly, 3300ms));
  EXPECT_FALSE(isHeld(common, 3300ms));
  auto Held = Quarantine.heldBack(prompt({common, deadly}), trueTime(4s));
  EXPECT_EQ(Held->Part, deadly);
  EXPECT_EQ(Held->Left, 3300ms + first_part_hold - 4s);
}

TEST_F(part_quarantine_test, LastPart_OpenAtEachCrash_IsNotSuspected) {
  prompt_info Prompt = prompt({common});
  for (int I = 1; I <= 5; ++I) {
    Quarantine.onSound(prompt({common}), at(std::chrono::seconds(I)),
                       at(std::chrono::seconds(I)));
    Quarantine.onBroken(run("u", I), Prompt,
                        at(std::chrono::seconds(I) - 500ms));
  }
  tick(8s);
  EXPECT_EQ(Quarantine.held(), 0u);
}

TEST_F(part_quarantine_test, Parts_AlwaysTogether_TheLastOneIsHeldBack) {
  convict();
  EXPECT_EQ(Quarantine.held(), 1u);
  EXPECT_FALSE(isHeld(common, 4s));
}

// Sound requests that were open beside the part that crashes upstreams.
TEST_F(part_quarantine_test, Crashes_Explained_SuspectNoOtherPart) {
  convict();
  for (duration Now : {5s, 6s, 7s, 8s, 9s, 10s})
    crash(Now, {common, deadly});
  tick(12s);
  EXPECT_EQ(Quarantine.held(), 1u);
}

// A rack fails, and requests with a part that was answered before are open at
// each of its upstreams.
TEST_F(part_quarantine_test, Crashes_AtOneMoment_AnsweredPartIsNotSuspected) {
  Quarantine.onSound(prompt({common}), at(500ms), at(600ms));
  failRack({common});
  expectNothingHeld();
}

// Only another entry has had the answer.
TEST_F(part_quarantine_test, Crashes_AtOneMoment_PartAnsweredElsewhereIsNot) {
  Other.onSound(prompt({common}), at(500ms), at(600ms));
  failRack({common});
  Other.onReport(Quarantine.report(true, at(1200ms)), at(1200ms));
  Quarantine.onReport(Other.report(true, at(1400ms)), at(1400ms));
  expectNothingHeld();
}

// Unlike requests: none of their new parts was open at five of the upstreams.
TEST_F(part_quarantine_test, Crashes_AtOneMoment_OfUnlikeRequests_SuspectNone) {
  for (uint64_t I = 0; I < 12; ++I)
    crash(1s + static_cast<int>(I) * 10ms, {500 + I / 4, 600 + I});
  expectNothingHeld();
}

// Guards against groups of requests whose crashes count as one (review/14).
TEST_F(part_quarantine_test, Group_CrashesFiveUpstreams_PartIsHeldBackSoon) {
  for (int I = 0; I < 5; ++I)
    crash(1s + I * 10ms, {600u + static_cast<uint64_t>(I), deadly});
  tick(2s);
  EXPECT_EQ(Quarantine.held(), 0u) << "the connections may have been lost only";
  tick(1040ms + min_crash_downtime);
  EXPECT_TRUE(isHeld(deadly, 3s));
  EXPECT_EQ(Quarantine.held(), 1u);
  EXPECT_EQ(Quarantine.heldBack(prompt({deadly}), trueTime(2540ms))->Left,
            weak_part_hold);
}

// All connections of an entry were lost, and the upstreams answer afterwards.
TEST_F(part_quarantine_test, Group_UpstreamsAnswerAfterwards_NothingIsHeld) {
  for (int I = 0; I < 9; ++I)
    crash(1s + I * 10ms, {deadly});
  for (int I = 1; I <= 9; ++I)
    Quarantine.onAnswer(run("u" + std::to_string(I)), at(1200ms), at(2300ms));
  expectNothingHeld();
}

// Several parts crash upstreams, and requests with both are open at some.
TEST_F(part_quarantine_test, Crashes_ExplainedByAnother_StillCountInPart) {
  constexpr uint64_t second = 88;
  for (int I = 1; I <= 4; ++I)
    crash(I * 1s, {deadly, second});
  for (duration Now = 4100ms; Now < 5s; Now += 100ms)
    tick(Now);
  ASSERT_EQ(Quarantine.held(), 1u);
  uint64_t Open = isHeld(deadly, 5s) ? second : deadly;
  crash(5s, {Open});
  for (duration Now = 5s; Now < 7s; Now += 100ms)
    tick(Now);
  EXPECT_TRUE(isHeld(Open, 7s));
}

TEST_F(part_quarantine_test, Answers_Many_MemoryIsBounded) {
  for (uint64_t I = 0; I < 3 * max_sound_parts; ++I)
    Quarantine.onSound(prompt({10'000 + I}), at(1s), at(1s));
  EXPECT_LE(Quarantine.answered(), max_sound_parts);
  tick(1s);
  tick(1s + 2 * answer_memory);
  EXPECT_EQ(Quarantine.answered(), 0u);
}

TEST_F(part_quarantine_test, Part_OpenAtFewOfManyCrashes_NeedsMoreOfThem) {
  for (int I = 0; I < 40; ++I)
    crash(1s + I * 100ms, {500u + static_cast<uint64_t>(I)});
  for (duration Now : {1s, 2s, 3s, 4s})
    crash(Now, {deadly});
  tick(5500ms);
  EXPECT_EQ(Quarantine.held(), 0u);
  crash(6s, {deadly});
  tick(7s);
  EXPECT_TRUE(isHeld(deadly, 7s));
  EXPECT_EQ(Quarantine.held(), 1u);
}

// The connections were lost, not the upstream.
TEST_F(part_quarantine_test, Upstream_AnswersAfterwards_WasNoCrash) {
  for (duration Now : {1s, 2s, 3s, 4s, 5s, 6s}) {
    crash(Now, {deadly});
    Quarantine.onAnswer(run("u" + std::to_string(Crashes)), at(Now + 10ms),
                        at(Now + 100ms));
  }
  tick(8s);
  EXPECT_EQ(Quarantine.held(), 0u);
}

TEST_F(part_quarantine_test, Crashes_SeenByOthers_AreReported) {
  crash(1s, {deadly});
  crash(2s, {deadly});
  Other.onReport(Quarantine.report(true, at(2500ms)), at(2500ms));
  Other.onBroken(run("v"), prompt({deadly}), at(3s));
  Other.onTick(at(4s), trueTime(4s));
  EXPECT_EQ(Other.held(), 1u);
  // The verdict as well.
  Quarantine.onReport(Other.report(true, at(4s)), at(4s));
  EXPECT_EQ(Quarantine.held(), 1u);
}

// Two entries see requests of one crash break.
TEST_F(part_quarantine_test, Crash_SeenByTwoEntries_CountsOnce) {
  for (int I = 1; I <= 2; ++I) {
    duration Now = std::chrono::seconds(I);
    Quarantine.onBroken(run("u", I), prompt({deadly}), at(Now));
    Other.onBroken(run("u", I), prompt({deadly}), at(Now + 250ms));
  }
  Quarantine.onReport(Other.report(true, at(2500ms)), at(2500ms));
  tick(4s);
  EXPECT_EQ(Quarantine.held(), 0u);
}

TEST_F(part_quarantine_test, Hold_IsOver_OneEntryTriesOnce) {
  convict();
  Other.onReport(Quarantine.report(true, at(4s)), at(4s));
  ASSERT_EQ(Other.held(), 1u);
  duration Now = 4s + first_part_hold + 1s;
  int Sent = 0;
  for (duration End = Now + part_trial_period - 2s; Now < End; Now += 100ms)
    for (part_quarantine *Each : {&Quarantine, &Other}) {
      Each->onTick(at(Now), trueTime(Now));
      prompt_info Prompt = prompt({deadly});
      if (Each->heldBack(Prompt, trueTime(Now)))
        continue;
      Each->onSent(Prompt, trueTime(Now));
      ++Sent;
    }
  EXPECT_GE(Sent, 1);
  EXPECT_LE(Sent, 2); // the period of a try may change once
}

TEST_F(part_quarantine_test, Try_Crashes_HoldsForTwiceTheTime) {
  convict();
  duration Now = 4s + first_part_hold + 1s;
  tick(Now);
  Quarantine.onSent(prompt({deadly}), trueTime(Now));
  crash(Now, {deadly});
  auto Held = Quarantine.heldBack(prompt({deadly}), trueTime(Now));
  ASSERT_TRUE(Held);
  EXPECT_EQ(Held->Round, 2);
  EXPECT_EQ(Held->Left, 2 * first_part_hold);
  Other.onReport(Quarantine.report(true, at(Now)), at(Now));
  EXPECT_TRUE(Other.heldBack(prompt({deadly}), trueTime(Now + 119s)));
}

// A request that was open when the part was held back.
TEST_F(part_quarantine_test, Crash_DuringHold_DoesNotLengthenIt) {
  convict();
  crash(4s, {deadly});
  EXPECT_EQ(Quarantine.heldBack(prompt({deadly}), trueTime(4s))->Round, 1);
}

TEST_F(part_quarantine_test, Try_IsAnswered_FreesThePartEverywhere) {
  convict();
  Other.onReport(Quarantine.report(true, at(4s)), at(4s));
  duration Now = 70s;
  tick(Now);
  Other.onTick(at(Now), trueTime(Now));
  Quarantine.onSound(prompt({deadly}), at(Now), at(Now));
  EXPECT_EQ(Quarantine.held(), 0u);
  // The other one still reports the hold.
  Quarantine.onReport(Other.report(true, at(Now)), at(Now));
  EXPECT_EQ(Quarantine.held(), 0u);
  Other.onReport(Quarantine.report(true, at(Now)), at(Now));
  EXPECT_EQ(Other.held(), 0u);
}

// Reports of the answer to the try were lost.
TEST_F(part_quarantine_test, Part_FreedLongAgo_LaterAnswersFreeItToo) {
  convict();
  Other.onReport(Quarantine.report(true, at(4s)), at(4s));
  tick(70s);
  Quarantine.onSound(prompt({deadly}), at(70s), at(70s));
  for (duration Now = 70s; Now < 150s; Now += 1s)
    tick(Now); // forgets the crashes
  Quarantine.onSound(prompt({deadly}), at(150s), at(150s));
  Other.onTick(at(150s), trueTime(150s));
  Other.onReport(Quarantine.report(true, at(150s)), at(150s));
  EXPECT_EQ(Other.held(), 0u);
}

TEST_F(part_quarantine_test, Part_CrashesAfterItWasFreed_IsHeldBackAgain) {
  convict();
  tick(70s);
  Quarantine.onSound(prompt({deadly}), at(70s), at(70s));
  for (duration Now : {80s, 81s, 82s})
    crash(Now, {deadly});
  tick(83s);
  EXPECT_TRUE(isHeld(deadly, 83s));
}

TEST_F(part_quarantine_test, Requests_StopComing_PartIsForgotten) {
  convict();
  tick(4s + first_part_hold + max_part_hold + 1s);
  EXPECT_EQ(Quarantine.held(), 0u);
}

TEST_F(part_quarantine_test, Reports_Absurd_AreIgnored) {
  wire::part_report Report;
  using limits = std::numeric_limits<int64_t>;
  for (int64_t Time : {limits::min(), limits::max(), int64_t{0}}) {
    wire::held_part Held;
    Held.Part = static_cast<int64_t>(deadly);
    Held.SinceMicros = Time;
    Held.UntilMicros = Time;
    Held.Round = 1;
    Report.Held.push_back(Held);
    wire::upstream_crash Crash;
    Crash.AgeMicros = Time;
    Crash.Parts.resize(1000);
    Report.Crashes.push_back(Crash);
    wire::sound_part Sound;
    Sound.AgeMicros = Time;
    Report.Sound.push_back(Sound);
  }
  Quarantine.onReport(Report, at(1s));
  tick(4s);
  EXPECT_EQ(Quarantine.held(), 0u);
}

TEST_F(part_quarantine_test, Crashes_Many_StateAndReportsAreBounded) {
  for (int I = 0; I < 2000; ++I) {
    std::vector<uint64_t> Parts;
    Parts.reserve(300);
    for (int J = 0; J < 300; ++J)
      Parts.push_back(10'000 + static_cast<uint64_t>(I * 300 + J));
    crash(1s + I * 1ms, Parts);
  }
  EXPECT_LE(Quarantine.watched(), max_watched_parts);
  wire::part_report Report = Quarantine.report(true, at(3s));
  EXPECT_EQ(Report.Crashes.size(), max_reported_crashes);
  for (const wire::upstream_crash &Crash : Report.Crashes)
    EXPECT_LE(Crash.Parts.size(), max_crash_parts);
}

} // namespace
} // namespace monsoonreel
