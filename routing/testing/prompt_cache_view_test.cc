#include "routing/prompt_cache_view.h"

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class prompt_cache_view_test : public testing::Test {
protected:
  static prompt_info prompt(uint64_t Subject) {
    return {"m", 9000, 60, {{1, 2500}, {Subject, 3800}, {9, 2700}}};
  }
  int64_t left(uint64_t Subject, duration Now) const {
    return Cache.tokensLeftToFetcher(Engine, prompt(Subject), at(Now));
  }

  const upstream_name Engine{"u1"};
  prompt_cache_view Cache;
};

// Guards against fetches of parts that wait in the source's queue or have been
// evicted, and against common parts that each request makes unavailable again.
TEST_F(prompt_cache_view_test, Fetcher_PartsNotReadYet_GetsThemOnceRead) {
  Cache.onDispatched(Engine, prompt(77), at(0ms), 80ms);
  EXPECT_EQ(left(77, 79ms), 9000);
  EXPECT_EQ(left(77, 80ms), 2700);
  Cache.onDispatched(Engine, prompt(78), at(80ms), 90ms);
  EXPECT_EQ(left(78, 169ms), 6500);
  EXPECT_EQ(left(78, 170ms), 2700);
  EXPECT_EQ(left(77, 20s), 6500);
  Cache.onDispatched(Engine, prompt(77), at(20s), 80ms);
  EXPECT_EQ(left(77, 20s + 79ms), 6500);
  EXPECT_EQ(left(77, 20s + 80ms), 2700);
}

} // namespace
} // namespace monsoonreel
