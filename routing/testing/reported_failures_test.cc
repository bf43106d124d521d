#include "routing/reported_failures.h"

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class reported_failures_test : public testing::Test {
protected:
  void report(const address &From, const std::vector<std::string> &Names,
              duration Now, const char *Service = "app") {
    Reported.onReport(From, pool_name(Service), Names, 8, at(Now));
  }
  bool isPaused(const char *Name, duration Now) const {
    return Reported.isPaused(upstream_name(Name), at(Now));
  }

  const address First{"10.0.0.2:7"};
  const address Second{"10.0.0.3:7"};
  reported_failures Reported;
};

// Guards against a single report that takes an engine from all entries.
TEST_F(reported_failures_test, Upstream_ReportedOnce_IsNotPaused) {
  report(First, {"a"}, 0ms);
  EXPECT_FALSE(isPaused("a", 0ms));
  report(Second, {"a"}, report_confirmation_window);
  EXPECT_FALSE(isPaused("a", report_confirmation_window));
}

// Guards against engines that each entry has to find failing by itself.
TEST_F(reported_failures_test, Upstream_ReportedTwice_IsPausedForAWhile) {
  report(First, {"a", "b"}, 0ms);
  report(First, {"a"}, 300ms);
  report(Second, {"b"}, 300ms);
  Reported.onTick(at(1250ms)); // keeps what has not expired
  for (const char *Name : {"a", "b"}) {
    EXPECT_TRUE(isPaused(Name, 1299ms)) << Name;
    EXPECT_FALSE(isPaused(Name, 1300ms)) << Name;
  }
}

// Guards against an entry that is cut off and takes all engines from others.
TEST_F(reported_failures_test, Reports_OfOneEntry_CountForAQuarter) {
  for (duration Now : {0ms, 100ms})
    report(First, {"a", "b", "c", "d"}, Now);
  EXPECT_TRUE(isPaused("b", 100ms));
  EXPECT_FALSE(isPaused("c", 100ms));
  // Its earlier reports have expired.
  for (duration Now : {1200ms, 1300ms})
    report(First, {"c", "d"}, Now);
  EXPECT_TRUE(isPaused("d", 1300ms));
}

// Guards against failures of one service that hide those of another one.
TEST_F(reported_failures_test, Reports_OfTwoServices_CountSeparately) {
  for (duration Now : {0ms, 100ms}) {
    report(First, {"a", "b"}, Now);
    report(First, {"x"}, Now, "other");
  }
  EXPECT_TRUE(isPaused("x", 100ms));
}

} // namespace
} // namespace monsoonreel
