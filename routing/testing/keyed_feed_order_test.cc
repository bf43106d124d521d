// Records of a feed that arrive in another order than they were written.

#include <gtest/gtest.h>

#include "routing/keyed_feed.h"
#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class keyed_feed_order_test : public testing::Test {
protected:
  keyed_feed_order_test() : Feed({"op", 0ms, 400ms}) {
    Feed.onTick(at(0ms), 0, Effects);
    Feed.onRead({"op", true, 0, 10, {record(3, "config", "x")}, 0}, at(5ms),
                Effects);
  }
  static wire::feed_record record(int64_t Offset, const std::string &Key,
                                  const char *Value) {
    wire::feed_record Record;
    Record.Offset = Offset;
    Record.Key = Key;
    if (Value)
      Record.__set_Value(Value);
    return Record;
  }
  std::vector<feed_change> news(int64_t From, int64_t End,
                                std::vector<wire::feed_record> Records,
                                bool Whole, duration Now) {
    wire::feed_news News;
    News.Feed = "op";
    News.From = From;
    News.End = End;
    News.Records = std::move(Records);
    News.Whole = Whole;
    return Feed.onNews(News, at(Now));
  }

  keyed_feed Feed;
  routing_effects Effects;
};

// Guards against a withdrawn order that comes back: the removal overtakes the
// order, which another entry has read.
TEST_F(keyed_feed_order_test, Record_OvertakenByItsRemoval_IsIgnored) {
  auto First =
      news(10, 12,
           {record(10, "evacuate/z", "{}"), record(11, "evacuate/z", nullptr)},
           false, 20ms);
  EXPECT_EQ(First.size(), 2u);
  EXPECT_TRUE(
      news(10, 11, {record(10, "evacuate/z", "{}")}, false, 30ms).empty());
  EXPECT_EQ(Feed.end(), 12);
}

// Guards against an order that is dropped because an earlier read of the whole
// feed, which lacks it, arrives later.
TEST_F(keyed_feed_order_test, WholeRead_OlderThanARecord_DoesNotRemoveIt) {
  EXPECT_EQ(news(10, 11, {record(10, "evacuate/z", "{}")}, false, 20ms).size(),
            1u);
  EXPECT_TRUE(news(0, 10, {record(3, "config", "x")}, true, 30ms).empty());
  auto Later = news(0, 12, {record(3, "config", "x")}, true, 40ms);
  ASSERT_EQ(Later.size(), 1u);
  EXPECT_TRUE(Later[0].IsMissing);
}

} // namespace
} // namespace monsoonreel
