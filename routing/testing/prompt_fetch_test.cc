#include "routing/prompt_fetch.h"

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class prompt_fetch_test : public testing::Test {
protected:
  static std::optional<duration> timeOf(int64_t Tokens, double TokenBytes,
                                        double LinkBytesPerMs) {
    return fetchTime({16, 0, 1, TokenBytes, LinkBytesPerMs}, Tokens);
  }
  // Orders fetches until the source may not be used; returns their number.
  int orderAll(const upstream_name &Source, duration Now) {
    int Count = 0;
    for (; Count < 100 && Fetches.mayUse(Source, at(Now)); ++Count)
      Fetches.onSent(Source, at(Now));
    return Count;
  }

  prompt_fetches Fetches;
};

// Guards against a wrong unit or a missing setup time, against fetches of too
// few tokens, and against fetches by engines that cannot fetch.
TEST_F(prompt_fetch_test, Time_OfTokens_FollowsFromTheTerms) {
  EXPECT_EQ(timeOf(4000, 18000, 3e6), 34ms);
  EXPECT_TRUE(timeOf(512, 18000, 3e6));
  EXPECT_FALSE(timeOf(511, 18000, 3e6));
  EXPECT_FALSE(timeOf(4000, 0, 3e6));
  EXPECT_FALSE(timeOf(4000, 18000, 0));
}

// Guards against a time below zero, which a very slow link would give.
TEST_F(prompt_fetch_test, Time_OfATransferWithoutEnd_IsBounded) {
  EXPECT_GT(timeOf(4000, 1e9, 1e-9), 1h);
}

// Guards against a queue at the link of an engine whose subject is suddenly
// popular, also after a tick.
TEST_F(prompt_fetch_test, Source_Hot_IsUsedEightTimesInAWindow) {
  upstream_name Hot("u1"), Other("u2");
  EXPECT_EQ(orderAll(Hot, 0ms), 8);
  Fetches.onTick(at(99ms));
  EXPECT_EQ(orderAll(Hot, 99ms), 0);
  EXPECT_EQ(orderAll(Other, 99ms), 8);
  EXPECT_EQ(orderAll(Hot, 100ms), 8);
}

// Guards against 15 fetches at once where one period of 100 ms ends and the
// next one begins.
TEST_F(prompt_fetch_test, Source_UsedLateInAWindow_IsBoundedInTheNext) {
  upstream_name Hot("u1");
  Fetches.onSent(Hot, at(0ms));
  Fetches.onTick(at(50ms));
  EXPECT_EQ(orderAll(Hot, 99ms), 7);
  EXPECT_EQ(orderAll(Hot, 100ms), 1);
  Fetches.onTick(at(150ms));
  EXPECT_EQ(orderAll(Hot, 198ms), 0);
  EXPECT_EQ(orderAll(Hot, 199ms), 7);
}

} // namespace
} // namespace monsoonreel
