#include "routing/upstream_trust.h"

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class upstream_trust_test : public testing::Test {
protected:
  const upstream_name Upstream{"a"};
  const zone_name Zone{"z"};
  upstream_trust Trust;
};

TEST_F(upstream_trust_test, Upstream_Unreachable_IsPausedForAWhile) {
  EXPECT_FALSE(Trust.isPaused(Upstream, Zone, at(0ms)));
  Trust.onUnreachable(Upstream, Zone, at(0ms));
  EXPECT_TRUE(Trust.isPaused(Upstream, Zone, at(390ms)));
  EXPECT_FALSE(Trust.isPaused(Upstream, Zone, at(410ms)));
}

TEST_F(upstream_trust_test, Upstream_UnreachableAgain_IsPausedLonger) {
  Trust.onUnreachable(Upstream, Zone, at(0ms));
  Trust.onUnreachable(Upstream, Zone, at(500ms));
  EXPECT_TRUE(Trust.isPaused(Upstream, Zone, at(1250ms)));
  EXPECT_FALSE(Trust.isPaused(Upstream, Zone, at(1310ms)));
}

TEST_F(upstream_trust_test, Failures_OfRequestsSentTogether_CountOnce) {
  for (int I = 0; I < 20; ++I)
    Trust.onUnreachable(Upstream, Zone, at(I * 1ms));
  EXPECT_FALSE(Trust.isPaused(Upstream, Zone, at(410ms)));
}

TEST_F(upstream_trust_test, Pause_ManyFailures_IsBounded) {
  duration Now = 0ms;
  for (int I = 0; I < 20; ++I, Now += 4s)
    Trust.onUnreachable(Upstream, Zone, at(Now));
  EXPECT_FALSE(Trust.isPaused(Upstream, Zone, at(Now - 4s + 3001ms)));
}

TEST_F(upstream_trust_test, Answer_Good_EndsThePause) {
  Trust.onUnreachable(Upstream, Zone, at(0ms));
  Trust.onAnswer(Upstream, Zone, false, at(10ms));
  EXPECT_FALSE(Trust.isPaused(Upstream, Zone, at(11ms)));
}

TEST_F(upstream_trust_test, Answers_Failing_RaiseTheShareWhichFades) {
  for (int I = 0; I < 30; ++I)
    Trust.onAnswer(Upstream, Zone, true, at(I * 10ms));
  EXPECT_GT(Trust.failureShare(Upstream, at(300ms)), 0.9);
  EXPECT_LT(Trust.failureShare(Upstream, at(8300ms)), 0.1);
}

TEST_F(upstream_trust_test, Zone_TwoUpstreamsUnreachable_AllArePaused) {
  Trust.onUnreachable(upstream_name("b"), Zone, at(0ms));
  EXPECT_FALSE(Trust.isPaused(Upstream, Zone, at(1ms)));
  Trust.onUnreachable(upstream_name("c"), Zone, at(400ms));
  EXPECT_TRUE(Trust.isPaused(Upstream, Zone, at(401ms)));
  EXPECT_FALSE(Trust.isPaused(Upstream, zone_name("y"), at(401ms)));
  EXPECT_FALSE(Trust.isPaused(Upstream, Zone, at(2s)));
}

TEST_F(upstream_trust_test,
       Zone_OneUpstreamUnreachableOften_OthersAreNotPaused) {
  for (int I = 0; I < 5; ++I)
    Trust.onUnreachable(upstream_name("b"), Zone, at(I * 200ms));
  EXPECT_FALSE(Trust.isPaused(Upstream, Zone, at(1s)));
}

TEST_F(upstream_trust_test, Zone_UnreachableFarApart_IsNotPaused) {
  Trust.onUnreachable(upstream_name("b"), Zone, at(0ms));
  Trust.onUnreachable(upstream_name("c"), Zone, at(1500ms));
  EXPECT_FALSE(Trust.isPaused(Upstream, Zone, at(1600ms)));
}

TEST_F(upstream_trust_test, Zone_AnswersMeanwhile_IsNotPaused) {
  Trust.onUnreachable(upstream_name("b"), Zone, at(0ms));
  Trust.onAnswer(Upstream, Zone, false, at(100ms));
  Trust.onUnreachable(upstream_name("c"), Zone, at(200ms));
  EXPECT_FALSE(Trust.isPaused(Upstream, Zone, at(300ms)));
}

TEST_F(upstream_trust_test, Upstream_Full_IsPausedBriefly) {
  Trust.onFull(Upstream, at(0ms));
  EXPECT_TRUE(Trust.isPaused(Upstream, Zone, at(50ms)));
  EXPECT_FALSE(Trust.isPaused(Upstream, Zone, at(70ms)));
}

TEST_F(upstream_trust_test, Upstream_AskedForRest_RestsAsLongAsAsked) {
  Trust.onAskedToRest(Upstream, at(1500ms));
  EXPECT_EQ(Trust.restingUntil(Upstream, at(1499ms)), at(1500ms));
  EXPECT_FALSE(Trust.restingUntil(Upstream, at(1500ms)));
}

TEST_F(upstream_trust_test, Rest_ShorterOneAsked_LongerOneHolds) {
  Trust.onAskedToRest(Upstream, at(1500ms));
  Trust.onAskedToRest(Upstream, at(500ms));
  EXPECT_TRUE(Trust.restingUntil(Upstream, at(1000ms)));
}

TEST_F(upstream_trust_test, Rest_AnswersOfEarlierRequests_DoNotEndIt) {
  Trust.onAskedToRest(Upstream, at(1500ms));
  Trust.onAnswer(Upstream, Zone, false, at(10ms));
  Trust.forget(Upstream);
  EXPECT_TRUE(Trust.restingUntil(Upstream, at(20ms)));
}

} // namespace
} // namespace monsoonreel
