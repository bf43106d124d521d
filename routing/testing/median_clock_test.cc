#include "routing/median_clock.h"

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class median_clock_test : public testing::Test {
protected:
  // The reading of a correct clock.
  static wall_time wall(duration SinceStart) {
    return wall_time(1000h + SinceStart);
  }
  median_clock Clock;
};

TEST_F(median_clock_test, Alone_FollowsTheOwnClock) {
  Clock.onOwn(at(0ms), wall(0ms));
  EXPECT_EQ(Clock.at(at(70ms)), wall(70ms));
}

TEST_F(median_clock_test, OwnClock_Jumps_TimeFollowsTheOthers) {
  for (int I = 2; I < 5; ++I)
    Clock.onPeer(address("10.0.0." + std::to_string(I) + ":70"), at(0ms),
                 wall(0ms));
  Clock.onOwn(at(10ms), wall(10ms) + 2400ms);
  EXPECT_EQ(Clock.at(at(20ms)), wall(20ms));
}

TEST_F(median_clock_test, Minority_OfClocksJumps_IsNotFollowed) {
  Clock.onPeer(address("10.0.0.2:70"), at(0ms), wall(0ms) - 3s);
  Clock.onPeer(address("10.0.0.3:70"), at(0ms), wall(0ms));
  Clock.onPeer(address("10.0.0.4:70"), at(0ms), wall(0ms));
  Clock.onPeer(address("10.0.0.5:70"), at(0ms), wall(0ms) + 9s);
  Clock.onOwn(at(0ms), wall(0ms));
  EXPECT_EQ(Clock.at(at(0ms)), wall(0ms));
}

TEST_F(median_clock_test, Peer_SilentForLong_NoLongerCounts) {
  Clock.onPeer(address("10.0.0.2:70"), at(0ms), wall(0ms) - 3s);
  Clock.onPeer(address("10.0.0.3:70"), at(0ms), wall(0ms) - 3s);
  Clock.onOwn(at(11s), wall(11s));
  EXPECT_EQ(Clock.at(at(11s)), wall(11s));
}

} // namespace
} // namespace monsoonreel
