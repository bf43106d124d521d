// End-to-end tests of claims: entries, claim coordinators and the log, under
// faults.

#include <gtest/gtest.h>

#include "monsoonreel/invariant.h"
#include "monsoonreel/mechanism.h"
#include "monsoonreel/testing/claim_site.h"

namespace monsoonreel {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// A UUIDv7 that was created at Time.
std::string uuidAt(wall_time Time) {
  auto Millis =
      std::chrono::duration_cast<milliseconds>(Time.time_since_epoch());
  char Text[40];
  std::snprintf(Text, sizeof(Text), "%08llx-%04llx-7abc-8def-0123456789ab",
                static_cast<unsigned long long>(Millis.count() >> 16),
                static_cast<unsigned long long>(Millis.count() & 0xffff));
  return Text;
}

class claims_test : public ::testing::Test {
protected:
  ~claims_test() override { abortOnBreach(true); }

  // Two entries claim the same key at the same time through different
  // coordinators. Returns the number of executions.
  static int runRace(claim_site &Site) {
    Site.BlockedLinks = {{"e0", "s1"}, {"e1", "s0"}};
    // Each coordinator appends its claim before it can read the other's.
    Site.ReadsHang = true;
    Site.ask("e0", "k");
    Site.ask("e1", "k");
    Site.run(seconds(1));
    Site.ReadsHang = false;
    Site.run(seconds(5));
    return Site.executions("k");
  }

  // Expects that Request was dispatched and that the key "k" ran only once.
  void expectOnlyRun(request_id Request) {
    EXPECT_EQ(Site.decision(Request), claim_decision::Dispatch);
    EXPECT_EQ(Site.executions("k"), 1);
  }

  claim_site Site{3, 2, 1};
};

TEST_F(claims_test, Request_FirstOfItsKey_RunsOnceAndIsSettled) {
  request_id Request = Site.ask("e0", "k");
  Site.run(seconds(2));
  expectOnlyRun(Request);
  EXPECT_TRUE(Site.client("e0").isIdle());
}

TEST_F(claims_test, Repeat_AfterTheFirstFinished_GetsItsAnswer) {
  Site.ask("e0", "k");
  Site.run(seconds(2));
  request_id Repeat = Site.ask("e1", "k");
  Site.run(seconds(1));
  ASSERT_EQ(Site.decision(Repeat), claim_decision::Finished);
  EXPECT_EQ(Site.result(Repeat)->Answer->Body, "answer of k");
  EXPECT_EQ(Site.executions("k"), 1);
}

TEST_F(claims_test, Repeat_WhileTheFirstRuns_IsInProgress) {
  Site.UpstreamHangs = true;
  Site.ask("e0", "k");
  Site.run(seconds(1));
  request_id Repeat = Site.ask("e1", "k");
  request_id Other = Site.ask("e1", "k", seconds(8), 2);
  Site.run(seconds(1));
  EXPECT_EQ(Site.decision(Repeat), claim_decision::InProgress);
  EXPECT_EQ(Site.decision(Other), claim_decision::Mismatch);
  EXPECT_EQ(Site.executions("k"), 1);
}

TEST_F(claims_test, Repeat_AfterTheFirstEntryDied_IsUnknownAndNeverRuns) {
  Site.UpstreamHangs = true;
  Site.ask("e0", "k");
  Site.run(seconds(1));
  Site.kill("e0");
  Site.run(seconds(30));
  request_id Repeat = Site.ask("e1", "k");
  Site.run(seconds(1));
  EXPECT_EQ(Site.decision(Repeat), claim_decision::OutcomeUnknown);
  EXPECT_EQ(Site.executions("k"), 1);
}

TEST_F(claims_test, Repeat_AfterTheFirstWasNotRun_Runs) {
  Site.Faults.UpstreamNeverReached = 1.0;
  Site.ask("e0", "k");
  Site.run(seconds(2));
  Site.Faults.UpstreamNeverReached = 0.0;
  request_id Repeat = Site.ask("e1", "k");
  Site.run(seconds(1));
  expectOnlyRun(Repeat);
}

TEST_F(claims_test, TwoCoordinators_RacingForOneKey_RunItOnce) {
  EXPECT_EQ(runRace(Site), 1);
}

TEST_F(claims_test, TwoDesks_WithoutReadBack_RunItTwice) {
  disabled_mechanism Disabled(mechanism::ClaimReadBack);
  EXPECT_EQ(runRace(Site), 2);
}

TEST_F(claims_test, LostAppendAnswers_RequestStillRunsOnce) {
  Site.Faults.LoseAppendAnswer = 1.0;
  request_id Request = Site.ask("e0", "k");
  Site.run(seconds(3));
  expectOnlyRun(Request);
}

TEST_F(claims_test, FirstCoordinatorKilled_OtherIsAsked_SameAttemptWins) {
  request_id Request = Site.ask("e0", "k");
  // By now the claim may be in the log, but no answer has been sent.
  Site.run(milliseconds(60));
  Site.kill(Site.coordinator("s0").waitingAsks() > 0 ? "s0" : "s1");
  Site.run(seconds(3));
  expectOnlyRun(Request);
}

TEST_F(claims_test, LogUnavailable_RequestIsRefusedAsNotRun_RepeatRuns) {
  Site.LogUnavailable = true;
  request_id Refused = Site.ask("e0", "k");
  Site.run(seconds(5));
  ASSERT_TRUE(Site.result(Refused));
  EXPECT_EQ(Site.decision(Refused), claim_decision::Unavailable);
  EXPECT_EQ(outcomeOf(Site.decision(Refused)), execution_outcome::NotRun);
  Site.LogUnavailable = false;
  // The coordinators still append the abandoned claim; its outcome NotRun frees
  // the key.
  Site.run(seconds(15));
  request_id Repeat = Site.ask("e1", "k");
  Site.run(seconds(3));
  expectOnlyRun(Repeat);
}

TEST_F(claims_test, AnswerAfterTheDeadline_RequestIsNeverDispatched) {
  Site.BlockedLinks = {{"s0", "e0"}, {"s1", "e0"}};
  request_id Request = Site.ask("e0", "k", milliseconds(500));
  Site.run(milliseconds(600));
  Site.BlockedLinks.clear();
  Site.run(seconds(5));
  EXPECT_EQ(Site.decision(Request), claim_decision::DeadlinePassed);
  EXPECT_EQ(Site.executions("k"), 0);
  request_id Repeat = Site.ask("e1", "k");
  Site.run(seconds(2));
  EXPECT_EQ(Site.decision(Repeat), claim_decision::Dispatch);
}

// A late answer reaches a request that already has a different result.
TEST_F(claims_test, AnswerAfterTheDeadline_WithoutGiveUp_BreaksTheInvariant) {
  abortOnBreach(false);
  disabled_mechanism Disabled(mechanism::ClaimGiveUp);
  Site.BlockedLinks = {{"s0", "e0"}, {"s1", "e0"}};
  Site.ask("e0", "k", milliseconds(500));
  Site.run(milliseconds(600));
  Site.BlockedLinks.clear();
  Site.run(seconds(5));
  EXPECT_GT(Site.breaches(), 0);
}

TEST_F(claims_test, OldTimedKey_AfterTheWindow_IsRefusedAndNeverRunsAgain) {
  Site.Window = minutes(10);
  std::string Key = uuidAt(Site.wall());
  Site.ask("e0", Key);
  Site.run(minutes(12));
  // Each coordinator appends once, so that two clocks have reached the time.
  Site.BlockedLinks = {{"e0", "s1"}, {"e1", "s0"}};
  Site.ask("e0", "k0");
  Site.ask("e1", "k1");
  Site.run(seconds(2));
  request_id Repeat = Site.ask("e1", Key);
  Site.run(seconds(2));
  EXPECT_EQ(Site.decision(Repeat), claim_decision::KeyExpired);
  EXPECT_EQ(Site.executions(Key), 1);
}

TEST_F(claims_test,
       SuspendedCoordinator_ResumesWithOldAnswers_NothingRunsTwice) {
  for (int Round = 0; Round < 5; ++Round) {
    std::string Key = "k" + std::to_string(Round);
    Site.ask("e0", Key);
    Site.run(milliseconds(30));
    Site.FrozenUntil["s0"] = Site.now() + seconds(20);
    Site.run(seconds(5));
    Site.ask("e1", Key);
    Site.run(seconds(30));
    EXPECT_EQ(Site.executions(Key), 1);
  }
}

// Random faults with 2 coordinators and 3 entries: no key runs twice, each
// request has at most one result, and none that ran is reported as not run.
class random_claims_test : public claims_test,
                           public ::testing::WithParamInterface<uint64_t> {
protected:
  static claim_faults drawFaults(std::mt19937_64 &Random) {
    std::uniform_real_distribution<> Share(0.0, 0.3);
    claim_faults Faults;
    Faults.LoseMessage = Share(Random);
    Faults.DuplicateMessage = Share(Random);
    Faults.LoseAppend = Share(Random);
    Faults.LoseAppendAnswer = Share(Random);
    Faults.LoseRead = Share(Random);
    Faults.UpstreamNeverReached = Share(Random);
    Faults.MaxDelay = milliseconds(1 + Random() % 400);
    return Faults;
  }

  static std::string pick(claim_site &Site, const char *Kind, int Count) {
    return Kind + std::to_string(Site.random()() % Count);
  }

  static void injectFault(claim_site &Site) {
    switch (Site.random()() % 8) {
    case 0:
      Site.LogUnavailable = !Site.LogUnavailable;
      break;
    case 1: {
      std::string Name = pick(Site, "s", 2);
      Site.kill(Name);
      Site.startSteward(Name);
      break;
    }
    case 2: {
      std::string Name = pick(Site, "e", 3);
      Site.kill(Name);
      Site.startEntry(Name);
      break;
    }
    case 3:
      Site.FrozenUntil[pick(Site, "s", 2)] = Site.now() + seconds(7);
      break;
    case 4:
      Site.FrozenUntil[pick(Site, "e", 3)] = Site.now() + seconds(7);
      break;
    case 5:
      Site.BlockedLinks.insert({pick(Site, "e", 3), pick(Site, "s", 2)});
      break;
    case 6:
      Site.BlockedLinks.clear();
      break;
    default:
      Site.Faults = drawFaults(Site.random());
    }
  }

  static void runFaults(claim_site &Site) {
    for (int Step = 0; Step < 150; ++Step) {
      Site.ask(pick(Site, "e", 3), pick(Site, "key", 40), seconds(4));
      Site.run(milliseconds(Site.random()() % 400));
      if (Site.random()() % 4 == 0)
        injectFault(Site);
    }
  }

  static int keysRunTwice(claim_site &Site) {
    int Count = 0;
    for (int Key = 0; Key < 40; ++Key)
      Count += Site.executions("key" + std::to_string(Key)) > 1 ? 1 : 0;
    return Count;
  }
};

TEST_P(random_claims_test, RandomFaults_NoKeyRunsTwiceAndNotRunIsTrue) {
  claim_site Random(3, 2, GetParam());
  runFaults(Random);
  EXPECT_EQ(keysRunTwice(Random), 0);
  EXPECT_EQ(Random.wrongResults(), 0);
  int Dispatched = 0;
  for (const auto &[Request, Result] : Random.results())
    Dispatched += Result.Decision == claim_decision::Dispatch ? 1 : 0;
  EXPECT_GT(Dispatched, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, random_claims_test,
                         ::testing::Range(uint64_t{1}, uint64_t{21}));

// The same runs must detect a double execution when a mechanism is disabled.
TEST_F(random_claims_test, RandomFaults_WithoutReadBack_AKeyRunsTwice) {
  abortOnBreach(false);
  disabled_mechanism Disabled(mechanism::ClaimReadBack);
  int Twice = 0;
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    claim_site Random(3, 2, Seed);
    runFaults(Random);
    Twice += keysRunTwice(Random);
  }
  EXPECT_GT(Twice, 0);
}

} // namespace
} // namespace monsoonreel
