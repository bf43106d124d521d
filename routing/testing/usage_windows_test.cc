#include "routing/usage_windows.h"

#include <gtest/gtest.h>

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class usage_windows_test : public testing::Test {
protected:
  static int64_t requestsOf(const wire::window_counts &Counts,
                            const std::string &Organisation) {
    for (const wire::organisation_count &Count : Counts.Counts)
      if (Count.Organisation == Organisation)
        return Count.Requests;
    return 0;
  }
  static wall_time time(duration SinceEpoch) { return wall_time(SinceEpoch); }

  usage_windows Usage{usage_terms{}};
  usage_windows Other{usage_terms{}};
  const organisation_name Kitchen{"kitchen"};
  const address Peer{"10.0.0.2:70"};
};

TEST_F(usage_windows_test, Request_AtAWindowsBorder_CountsInTheNext) {
  Usage.count(Kitchen, time(9999ms));
  Usage.count(Kitchen, time(10s));
  EXPECT_EQ(requestsOf(Usage.sum(1), "kitchen"), 1);
  EXPECT_EQ(requestsOf(Usage.sum(2), "kitchen"), 1);
  EXPECT_EQ(Usage.endOf(1), time(10s));
}

TEST_F(usage_windows_test, Reports_RepeatedAndLate_CountOnce) {
  Other.count(Kitchen, time(6s));
  auto Early = Other.ownWindows();
  Other.count(Kitchen, time(7s));
  Usage.count(Kitchen, time(8s));
  Usage.onReport(Peer, 1, Other.ownWindows());
  Usage.onReport(Peer, 1, Early);
  Usage.onReport(Peer, 1, Other.ownWindows());
  EXPECT_EQ(requestsOf(Usage.sum(1), "kitchen"), 3);
}

TEST_F(usage_windows_test, Report_OfRestartedEntry_AddsToItsEarlierCounts) {
  Other.count(Kitchen, time(6s));
  Usage.onReport(Peer, 1, Other.ownWindows());
  Usage.onReport(Peer, 2, Other.ownWindows());
  EXPECT_EQ(requestsOf(Usage.sum(1), "kitchen"), 2);
}

TEST_F(usage_windows_test, Windows_Reported_AreForgotten) {
  Usage.count(Kitchen, time(6s));
  Usage.forgetBefore(2);
  EXPECT_TRUE(Usage.ownWindows().empty());
  EXPECT_TRUE(Usage.sum(1).Counts.empty());
}

TEST_F(usage_windows_test, Windows_OfAWrongClock_AreBounded) {
  for (int I = 0; I < 1000; ++I) {
    usage_windows Wild{usage_terms{}};
    Wild.count(Kitchen, time(I * 5s));
    Usage.onReport(Peer, 1, Wild.ownWindows());
  }
  int Known = 0;
  for (int64_t Window = 0; Window < 1000; ++Window)
    Known += Usage.sum(Window).Counts.empty() ? 0 : 1;
  EXPECT_LE(Known, 2 * usage_terms().kept());
}

} // namespace
} // namespace monsoonreel
