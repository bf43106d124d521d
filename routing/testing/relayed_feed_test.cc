#include "routing/testing/keyed_feed_fixture.h"

namespace monsoonreel {
namespace {

class relayed_feed_test : public keyed_feed_test {
protected:
  relayed_feed_test() {
    startWith({record(6, "a", "x")}, 7);
    Feed.setMarkDelay(500ms);
    Feed.setRecipientCount(10);
  }
  static wire::feed_mark mark(int64_t News, int64_t End, duration Age,
                              int64_t Reads = 1) {
    wire::feed_mark Mark;
    Mark.Feed = "servers";
    Mark.News = News;
    Mark.End = End;
    Mark.AgeMicros = toMicros(Age);
    Mark.Reads = Reads;
    return Mark;
  }
  std::optional<wire::feed_news> announced() const {
    for (const routing_effect &Effect : Announced)
      if (const auto *Tell = std::get_if<broadcast_to_entries>(&Effect))
        return std::get<wire::feed_news>(Tell->Message);
    return std::nullopt;
  }
};

TEST_F(relayed_feed_test, Reader_NothingNew_OnlyChangesItsMark) {
  tick(500ms);
  read(505ms, false, 7, 20, {record(8, "a", "same")});
  EXPECT_FALSE(announced());
  EXPECT_EQ(Feed.mark(at(605ms)).End, 20);
  EXPECT_EQ(Feed.mark(at(605ms)).AgeMicros, toMicros(100ms));
}

TEST_F(relayed_feed_test, Reader_HasNews_TheyStartAtTheEndOfTheLastNews) {
  tick(500ms);
  read(505ms, false, 7, 20, {record(8, "b", "new")});
  tick(1000ms);
  read(1005ms, false, 20, 30, {record(25, "a", "same")});
  tick(1500ms);
  read(1505ms, false, 30, 40, {record(35, "c", "new")});
  ASSERT_TRUE(announced());
  EXPECT_EQ(announced()->From, 20) << "other entries may not know of 30 yet";
  EXPECT_EQ(announced()->End, 40);
}

TEST_F(relayed_feed_test, NonReader_MarkWithoutNews_IsUpToDate) {
  Feed.onNews(news(7, 10, {record(8, "b", "new")}), at(100ms));
  Feed.onMark(mark(10, 50, 200ms), at(1000ms));
  EXPECT_EQ(Feed.end(), 50);
  EXPECT_EQ(Feed.age(at(1000ms)), 200ms);
  EXPECT_FALSE(tick(1500ms, 1));
}

TEST_F(relayed_feed_test, NonReader_MarkOfNewsThatDoNotArrive_ReadsSoon) {
  Feed.onMark(mark(40, 50, 0ms), at(500ms));
  EXPECT_EQ(Feed.end(), 7);
  EXPECT_FALSE(tick(500ms + news_arrival_timeout - 1ms, 1));
  auto Read = tick(500ms + news_arrival_timeout, 1);
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read->From, 7);
}

TEST_F(relayed_feed_test, NonReader_NewsArriveLate_NeedsNoRead) {
  Feed.onMark(mark(40, 50, 0ms), at(500ms));
  Feed.onNews(news(7, 40, {record(39, "b", "new")}), at(600ms));
  EXPECT_FALSE(tick(500ms + news_arrival_timeout, 1));
}

TEST_F(relayed_feed_test, NonReader_CaughtUpByItself_AnnouncesNothing) {
  Feed.onMark(mark(40, 50, 0ms), at(500ms));
  ASSERT_TRUE(tick(1000ms, 1));
  read(1005ms, false, 7, 55, {record(39, "b", "new")});
  EXPECT_FALSE(announced());
  EXPECT_EQ(Feed.mark(at(1005ms)).End, 50)
      << "only reads by a reader change the mark";
}

// If the reader fails, what this entry read only for itself may be known to no
// other entry.
TEST_F(relayed_feed_test,
       NonReader_CaughtUpAndBecomesReader_MarkShowsMissedNews) {
  Feed.onMark(mark(40, 50, 0ms), at(500ms));
  ASSERT_TRUE(tick(1000ms, 1));
  read(1005ms, false, 7, 55, {record(54, "b", "new")});
  ASSERT_TRUE(tick(2000ms, 0));
  read(2005ms, false, 55, 60, {});
  EXPECT_EQ(Feed.mark(at(2005ms)).News, 60);
}

TEST_F(relayed_feed_test, NonReader_CaughtUpAndReaderKnowsIt_MarkShowsNoNews) {
  Feed.onMark(mark(40, 50, 0ms), at(500ms));
  ASSERT_TRUE(tick(1000ms, 1));
  read(1005ms, false, 7, 55, {record(39, "b", "new")});
  Feed.onMark(mark(40, 60, 0ms), at(1500ms));
  ASSERT_TRUE(tick(2500ms, 0));
  read(2505ms, false, 60, 70, {});
  EXPECT_EQ(Feed.mark(at(2505ms)).News, 40);
}

// The age of a mark does not include its time in transit. If a repeated mark
// refreshed an entry, marks that circulate would stay fresh indefinitely, and
// no entry would read the store.
TEST_F(relayed_feed_test, Mark_OfTheSameReadRepeated_DoesNotRefresh) {
  Feed.onMark(mark(7, 50, 0ms), at(500ms));
  Feed.onMark(mark(7, 50, 0ms), at(900ms));
  EXPECT_EQ(Feed.age(at(900ms)), 400ms);
  Feed.onMark(mark(7, 50, 0ms, 2), at(1000ms));
  EXPECT_EQ(Feed.age(at(1000ms)), 0ms);
}

TEST_F(relayed_feed_test, Reader_OwnMarkReturnsLate_ReadsWhenItIsDue) {
  ASSERT_TRUE(tick(500ms));
  read(505ms, false, 7, 7, {});
  for (duration Now = 600ms; Now < 950ms; Now += 50ms) {
    wire::feed_mark Mark = Feed.mark(at(Now - 50ms));
    Feed.onMark(Mark, at(Now));
  }
  EXPECT_TRUE(tick(960ms));
}

TEST_F(relayed_feed_test, Mark_OlderThanWhatIsKnown_ChangesNothing) {
  Feed.onMark(mark(7, 50, 0ms), at(500ms));
  Feed.onMark(mark(7, 40, 0ms), at(600ms));
  EXPECT_EQ(Feed.end(), 50);
  EXPECT_EQ(Feed.age(at(600ms)), 100ms);
}

} // namespace
} // namespace monsoonreel
