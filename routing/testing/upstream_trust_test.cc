#include "routing/upstream_trust.h"

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class upstream_trust_test : public testing::Test {
protected:
  const upstream_name Upstream{"a"};
  upstream_trust Trust;
};

TEST_F(upstream_trust_test, Upstream_Unreachable_IsPausedForAWhile) {
  EXPECT_FALSE(Trust.isPaused(Upstream, at(0ms)));
  Trust.onUnreachable(Upstream, at(0ms));
  EXPECT_TRUE(Trust.isPaused(Upstream, at(390ms)));
  EXPECT_FALSE(Trust.isPaused(Upstream, at(410ms)));
}

TEST_F(upstream_trust_test, Upstream_UnreachableAgain_IsPausedLonger) {
  Trust.onUnreachable(Upstream, at(0ms));
  Trust.onUnreachable(Upstream, at(500ms));
  EXPECT_TRUE(Trust.isPaused(Upstream, at(1250ms)));
  EXPECT_FALSE(Trust.isPaused(Upstream, at(1310ms)));
}

TEST_F(upstream_trust_test, Failures_OfRequestsSentTogether_CountOnce) {
  for (int I = 0; I < 20; ++I)
    Trust.onUnreachable(Upstream, at(I * 1ms));
  EXPECT_FALSE(Trust.isPaused(Upstream, at(410ms)));
}

TEST_F(upstream_trust_test, Pause_ManyFailures_IsBounded) {
  duration Now = 0ms;
  for (int I = 0; I < 20; ++I, Now += 4s)
    Trust.onUnreachable(Upstream, at(Now));
  EXPECT_FALSE(Trust.isPaused(Upstream, at(Now - 4s + 3001ms)));
}

TEST_F(upstream_trust_test, Answer_Good_EndsThePause) {
  Trust.onUnreachable(Upstream, at(0ms));
  Trust.onAnswer(Upstream, false, at(10ms));
  EXPECT_FALSE(Trust.isPaused(Upstream, at(11ms)));
}

TEST_F(upstream_trust_test, Answers_Failing_RaiseTheShareWhichFades) {
  for (int I = 0; I < 30; ++I)
    Trust.onAnswer(Upstream, true, at(I * 10ms));
  EXPECT_GT(Trust.failureShare(Upstream, at(300ms)), 0.9);
  EXPECT_LT(Trust.failureShare(Upstream, at(8300ms)), 0.1);
}

TEST_F(upstream_trust_test, Upstream_Full_IsPausedBriefly) {
  Trust.onFull(Upstream, at(0ms));
  EXPECT_TRUE(Trust.isPaused(Upstream, at(50ms)));
  EXPECT_FALSE(Trust.isPaused(Upstream, at(70ms)));
}

} // namespace
} // namespace monsoonreel
