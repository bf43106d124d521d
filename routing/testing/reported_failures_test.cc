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
  reported_failures Reported;
};

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
