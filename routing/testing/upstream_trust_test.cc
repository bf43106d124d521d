#include "routing/upstream_failure_tracker.h"

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class upstream_failure_tracker_test : public testing::Test {
protected:
  const upstream_name Upstream{"a"};
  const zone_name Zone{"z"};
  upstream_failure_tracker FailureTracker;
};

TEST_F(upstream_failure_tracker_test, Upstream_Unreachable_IsPausedForAWhile) {
  EXPECT_FALSE(FailureTracker.isPaused(Upstream, Zone, at(0ms)));
  FailureTracker.onUnreachable(Upstream, Zone, at(0ms));
  EXPECT_TRUE(FailureTracker.isPaused(Upstream, Zone, at(390ms)));
  EXPECT_FALSE(FailureTracker.isPaused(Upstream, Zone, at(410ms)));
}

TEST_F(upstream_failure_tracker_test,
       Upstream_UnreachableAgain_IsPausedLonger) {
  FailureTracker.onUnreachable(Upstream, Zone, at(0ms));
  FailureTracker.onUnreachable(Upstream, Zone, at(500ms));
  EXPECT_TRUE(FailureTracker.isPaused(Upstream, Zone, at(1250ms)));
  EXPECT_FALSE(FailureTracker.isPaused(Upstream, Zone, at(1310ms)));
}

TEST_F(upstream_failure_tracker_test,
       Failures_OfRequestsSentTogether_CountOnce) {
  for (int I = 0; I < 20; ++I)
    FailureTracker.onUnreachable(Upstream, Zone, at(I * 1ms));
  EXPECT_FALSE(FailureTracker.isPaused(Upstream, Zone, at(410ms)));
}

TEST_F(upstream_failure_tracker_test, Pause_ManyFailures_IsBounded) {
  duration Now = 0ms;
  for (int I = 0; I < 20; ++I, Now += 4s)
    FailureTracker.onUnreachable(Upstream, Zone, at(Now));
  EXPECT_FALSE(FailureTracker.isPaused(Upstream, Zone, at(Now - 4s + 3001ms)));
}

TEST_F(upstream_failure_tracker_test, Answer_Good_EndsThePause) {
  FailureTracker.onUnreachable(Upstream, Zone, at(0ms));
  FailureTracker.onAnswer(Upstream, Zone, false, at(10ms));
  EXPECT_FALSE(FailureTracker.isPaused(Upstream, Zone, at(11ms)));
}

TEST_F(upstream_failure_tracker_test,
       Answers_Failing_RaiseTheShareWhichDecays) {
  for (int I = 0; I < 30; ++I)
    FailureTracker.onAnswer(Upstream, Zone, true, at(I * 10ms));
  EXPECT_GT(FailureTracker.failureShare(Upstream, at(300ms)), 0.9);
  EXPECT_LT(FailureTracker.failureShare(Upstream, at(8300ms)), 0.1);
}

TEST_F(upstream_failure_tracker_test,
       Zone_TwoUpstreamsUnreachable_AllArePaused) {
  FailureTracker.onUnreachable(upstream_name("b"), Zone, at(0ms));
  EXPECT_FALSE(FailureTracker.isPaused(Upstream, Zone, at(1ms)));
  FailureTracker.onUnreachable(upstream_name("c"), Zone, at(400ms));
  EXPECT_TRUE(FailureTracker.isPaused(Upstream, Zone, at(401ms)));
  EXPECT_FALSE(FailureTracker.isPaused(Upstream, zone_name("y"), at(401ms)));
  EXPECT_FALSE(FailureTracker.isPaused(Upstream, Zone, at(2s)));
}

TEST_F(upstream_failure_tracker_test,
       Zone_OneUpstreamUnreachableOften_OthersAreNotPaused) {
  for (int I = 0; I < 5; ++I)
    FailureTracker.onUnreachable(upstream_name("b"), Zone, at(I * 200ms));
  EXPECT_FALSE(FailureTracker.isPaused(Upstream, Zone, at(1s)));
}

TEST_F(upstream_failure_tracker_test, Zone_UnreachableFarApart_IsNotPaused) {
  FailureTracker.onUnreachable(upstream_name("b"), Zone, at(0ms));
  FailureTracker.onUnreachable(upstream_name("c"), Zone, at(1500ms));
  EXPECT_FALSE(FailureTracker.isPaused(Upstream, Zone, at(1600ms)));
}

TEST_F(upstream_failure_tracker_test, Zone_AnswersMeanwhile_IsNotPaused) {
  FailureTracker.onUnreachable(upstream_name("b"), Zone, at(0ms));
  FailureTracker.onAnswer(Upstream, Zone, false, at(100ms));
  FailureTracker.onUnreachable(upstream_name("c"), Zone, at(200ms));
  EXPECT_FALSE(FailureTracker.isPaused(Upstream, Zone, at(300ms)));
}

TEST_F(upstream_failure_tracker_test, Upstream_Full_IsPausedBriefly) {
  FailureTracker.onFull(Upstream, at(0ms));
  EXPECT_TRUE(FailureTracker.isPaused(Upstream, Zone, at(50ms)));
  EXPECT_FALSE(FailureTracker.isPaused(Upstream, Zone, at(70ms)));
}

TEST_F(upstream_failure_tracker_test,
       Upstream_AskedForBackoff_BacksOffAsLongAsAsked) {
  FailureTracker.onBackoffRequested(Upstream, at(1500ms));
  EXPECT_EQ(FailureTracker.backoffUntil(Upstream, at(1499ms)), at(1500ms));
  EXPECT_FALSE(FailureTracker.backoffUntil(Upstream, at(1500ms)));
}

TEST_F(upstream_failure_tracker_test, Backoff_ShorterOneAsked_LongerOneHolds) {
  FailureTracker.onBackoffRequested(Upstream, at(1500ms));
  FailureTracker.onBackoffRequested(Upstream, at(500ms));
  EXPECT_TRUE(FailureTracker.backoffUntil(Upstream, at(1000ms)));
}

TEST_F(upstream_failure_tracker_test,
       Backoff_AnswersOfEarlierRequests_DoNotEndIt) {
  FailureTracker.onBackoffRequested(Upstream, at(1500ms));
  FailureTracker.onAnswer(Upstream, Zone, false, at(10ms));
  FailureTracker.forget(Upstream);
  EXPECT_TRUE(FailureTracker.backoffUntil(Upstream, at(20ms)));
}

} // namespace
} // namespace monsoonreel
