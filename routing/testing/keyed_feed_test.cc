#include "routing/testing/keyed_feed_fixture.h"

namespace monsoonreel {
namespace {

TEST_F(keyed_feed_test, Start_NothingKnown_ReadsTheNewestOfEveryKey) {
  auto Read = tick(0ms);
  ASSERT_TRUE(Read);
  EXPECT_TRUE(Read->Whole);
  auto Changes = read(5ms, true, 0, 7, {record(6, "a", "x")});
  ASSERT_EQ(Changes.size(), 1u);
  EXPECT_EQ(Changes[0].Value, "x");
  EXPECT_TRUE(Feed.isKnown());
  EXPECT_EQ(Feed.end(), 7);
  EXPECT_EQ(Announced.size(), 1u); // the news are sent to the others
}

TEST_F(keyed_feed_test, FirstReader_PeriodIsOver_ReadsOn) {
  startWith({}, 7);
  EXPECT_FALSE(tick(300ms));
  auto Read = tick(460ms);
  ASSERT_TRUE(Read);
  EXPECT_FALSE(Read->Whole);
  EXPECT_EQ(Read->From, 7);
}

TEST_F(keyed_feed_test, LaterReader_ReceivesNews_DoesNotRead) {
  startWith({}, 7);
  for (int I = 1; I <= 10; ++I) {
    Feed.onNews(news(7, 7, {}), at(I * 450ms));
    EXPECT_FALSE(tick(I * 450ms + 400ms, 3));
  }
}

TEST_F(keyed_feed_test, LaterReader_FirstReaderFails_ReadsAfterItsDelay) {
  startWith({}, 7);
  EXPECT_FALSE(tick(700ms, 1));
  EXPECT_TRUE(tick(710ms, 1)); // 450 + 150 + 100 after the last news
}

TEST_F(keyed_feed_test, LaterReaders_FirstReaderFails_DoNotReadTogether) {
  startWith({}, 7);
  EXPECT_FALSE(tick(710ms, 2));
  EXPECT_TRUE(tick(810ms, 2));
}

// The store rejected the first readers (bench, seed 503385087940). A
// configuration has to be in force 2 s after it was written.
TEST_F(keyed_feed_test,
       ConfigurationReaders_FirstThreeAreRejected_NextReadsInTime) {
  keyed_feed Config({"op", 0ms, 400ms});
  routing_effects Effects;
  Config.onTick(at(0ms), 3, Effects);
  Config.onRead({"op", true, 0, 1, {}}, at(5ms), Effects);
  bool Read = false;
  for (duration Now = 10ms; Now < 1s && !Read; Now += 20ms) {
    Effects.clear();
    Config.onTick(at(Now), 3, Effects);
    Read = !Effects.empty();
  }
  EXPECT_TRUE(Read);
}

TEST_F(keyed_feed_test, News_WithGap_AreNotAppliedAndAreReadSoon) {
  startWith({record(6, "a", "x")}, 7);
  auto Changes = Feed.onNews(news(9, 10, {record(9, "a", "z")}), at(100ms));
  EXPECT_TRUE(Changes.empty());
  EXPECT_EQ(Feed.end(), 7);
  auto Read = tick(120ms, 5);
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read->From, 7);
}

// Hundreds of upstreams repeat their records each second, and the links of
// small entries carry 10 Mbit/s.
TEST_F(keyed_feed_test, Records_ThatOnlyRepeat_AreNotSentToOthers) {
  startWith({record(6, "a", "x")}, 7);
  ASSERT_TRUE(tick(500ms));
  auto Changes = read(
      505ms, false, 7, 10,
      {record(7, "a", "same"), record(8, "b", "new"), record(9, "c", "same")});
  EXPECT_EQ(Changes.size(), 3u);
  const auto &News = std::get<wire::feed_news>(
      std::get<broadcast_to_entries>(Announced.back()).Message);
  ASSERT_EQ(News.Records.size(), 1u);
  EXPECT_EQ(News.Records[0].Key, "b");
  // The news have no gap for the other entries.
  EXPECT_EQ(News.From, 7);
  EXPECT_EQ(News.End, 10);
}

// A large configuration, or records of all upstreams at once, has to reach some
// hundred entries on slow links.
TEST_F(keyed_feed_test, News_TooLargeForAllEntries_AreReadByEachOne) {
  startWith({record(6, "a", "x")}, 7);
  Feed.setRecipientCount(78);
  ASSERT_TRUE(tick(500ms));
  std::minstd_rand Random(1);
  std::string Large;
  while (Large.size() < max_news_bytes / 70) // incompressible
    Large.push_back(static_cast<char>(1 + Random() % 255));
  read(505ms, false, 7, 8, {record(7, "a", Large.c_str())});
  const auto &News = std::get<wire::feed_news>(
      std::get<broadcast_to_entries>(Announced.back()).Message);
  EXPECT_TRUE(News.Records.empty());

  keyed_feed Other({"servers", 450ms, 0ms});
  routing_effects Effects;
  Other.onTick(at(0ms), 5, Effects);
  Other.onRead({"servers", true, 0, 7, {record(6, "a", "x")}}, at(5ms),
               Effects);
  EXPECT_TRUE(Other.onNews(News, at(510ms)).empty());
  Effects.clear();
  Other.onTick(at(511ms), 5, Effects);
  const auto *Read = std::get_if<read_feed>(&Effects.back());
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read->From, 7);
}

TEST_F(keyed_feed_test, Repeat_AfterARemovalInTheSameRead_IsSent) {
  startWith({record(6, "a", "same")}, 7);
  ASSERT_TRUE(tick(500ms));
  read(505ms, false, 7, 9, {record(7, "a", nullptr), record(8, "a", "same")});
  const auto &News = std::get<wire::feed_news>(
      std::get<broadcast_to_entries>(Announced.back()).Message);
  EXPECT_EQ(News.Records.size(), 2u);
}

TEST_F(keyed_feed_test, News_OlderRecordOfKey_IsIgnored) {
  startWith({record(6, "a", "new")}, 7);
  auto Changes = Feed.onNews(news(3, 7, {record(4, "a", "old")}), at(100ms));
  EXPECT_TRUE(Changes.empty());
}

TEST_F(keyed_feed_test, Removal_InReachableStore_IsPlain) {
  startWith({record(6, "a", "x")}, 7);
  tick(460ms);
  auto Changes = read(465ms, false, 7, 8, {record(7, "a", nullptr)});
  ASSERT_EQ(Changes.size(), 1u);
  EXPECT_FALSE(Changes[0].Value);
  EXPECT_FALSE(Changes[0].AfterOutage);
}

TEST_F(keyed_feed_test, Removal_RightAfterAnOutage_MayBeALapse) {
  startWith({record(6, "a", "x")}, 7);
  tick(460ms);
  Feed.onReadFailed({"servers", "timeout", false}, at(900ms));
  EXPECT_TRUE(Feed.isStoreFailing());
  ASSERT_TRUE(tick(1310ms));
  Feed.onReadFailed({"servers", "timeout", false}, at(1800ms));
  ASSERT_TRUE(tick(2210ms));
  auto Changes = read(2220ms, false, 7, 8, {record(7, "a", nullptr)});
  ASSERT_EQ(Changes.size(), 1u);
  EXPECT_TRUE(Changes[0].AfterOutage);
  EXPECT_FALSE(Feed.isStoreFailing());
}

// A single lost call is not an outage: the upstream has left.
TEST_F(keyed_feed_test, Removal_AfterOneFailedRead_IsPlain) {
  startWith({record(6, "a", "x")}, 7);
  tick(460ms);
  Feed.onReadFailed({"servers", "timeout", false}, at(900ms));
  ASSERT_TRUE(tick(1310ms));
  auto Changes = read(1320ms, false, 7, 8, {record(7, "a", nullptr)});
  ASSERT_EQ(Changes.size(), 1u);
  EXPECT_FALSE(Changes[0].AfterOutage);
}

// An upstream that left 1.4 s after the store had recovered was used for
// another two seconds (bench, seed 998654638200).
TEST_F(keyed_feed_test, Removal_InALaterReadAfterAnOutage_IsPlain) {
  startWith({record(6, "a", "x")}, 7);
  tick(460ms);
  Feed.onReadFailed({"servers", "timeout", false}, at(900ms));
  ASSERT_TRUE(tick(1310ms));
  read(1320ms, false, 7, 7, {});
  ASSERT_TRUE(tick(1800ms));
  auto Changes = read(1810ms, false, 7, 8, {record(7, "a", nullptr)});
  ASSERT_EQ(Changes.size(), 1u);
  EXPECT_FALSE(Changes[0].AfterOutage);
}

// Removals are delayed while the store fails, and an entry that receives news
// from others need not read the store itself.
TEST_F(keyed_feed_test, Store_AnotherEntryHasReadIt_IsNotFailing) {
  startWith({record(6, "a", "x")}, 7);
  tick(460ms);
  Feed.onReadFailed({"servers", "timeout", false}, at(900ms));
  ASSERT_TRUE(Feed.isStoreFailing());
  Feed.onNews(news(7, 7, {}), at(1000ms));
  EXPECT_FALSE(Feed.isStoreFailing());
}

TEST_F(keyed_feed_test, Store_MarkReportsARead_IsNotFailing) {
  Feed.setMarkDelay(500ms);
  startWith({record(6, "a", "x")}, 7);
  tick(460ms);
  Feed.onReadFailed({"servers", "timeout", false}, at(900ms));
  wire::feed_mark Mark;
  Mark.Feed = "servers";
  Mark.News = Mark.End = 7;
  Mark.Reads = 2;
  Mark.AgeMicros = 200000; // read before the failure
  Feed.onMark(Mark, at(1000ms));
  EXPECT_TRUE(Feed.isStoreFailing());
  Mark.Reads = 3;
  Mark.AgeMicros = 50000;
  Feed.onMark(Mark, at(1000ms));
  EXPECT_FALSE(Feed.isStoreFailing());
}

// The store is unavailable, and hundreds of entries wait to read it.
TEST_F(keyed_feed_test, LaterReader_StoreFails_CallsItRarely) {
  keyed_feed Later({"servers", 450ms, 0ms, nullptr, 250ms, 4s});
  Later.setMarkDelay(500ms);
  Later.setLaterReader(true);
  routing_effects Effects;
  Later.onTick(at(0ms), 20, Effects);
  Later.onRead({"servers", true, 0, 7, {}}, at(5ms), Effects);
  std::vector<duration> Reads;
  for (duration Now = 10ms; Now < 12s; Now += 10ms) {
    Effects.clear();
    Later.onTick(at(Now), 20, Effects);
    for (const routing_effect &Effect : Effects)
      if (std::holds_alternative<read_feed>(Effect)) {
        Reads.push_back(Now);
        Later.onReadFailed({"servers", "refused", false}, at(Now));
      }
  }
  ASSERT_EQ(Reads.size(), 3u);
  EXPECT_EQ(Reads[1] - Reads[0], 4s);
  // Without reports from its zone's relays it is no longer a later reader.
  Later.setLaterReader(false);
  Effects.clear();
  Later.onTick(at(Reads[2] + feed_retry_period), 20, Effects);
  EXPECT_FALSE(Effects.empty());
}

TEST_F(keyed_feed_test, RemovalInNews_StoreFailedForTheReaderOnly_IsPlain) {
  startWith({record(6, "a", "x")}, 7);
  wire::feed_news News = news(7, 8, {record(7, "a", nullptr)});
  News.AfterOutage = true;
  auto Changes = Feed.onNews(News, at(100ms));
  ASSERT_EQ(Changes.size(), 1u);
  EXPECT_FALSE(Changes[0].AfterOutage);
}

TEST_F(keyed_feed_test, RemovalInNews_StoreFailedForBoth_MayBeALapse) {
  startWith({record(6, "a", "x")}, 7);
  tick(460ms);
  Feed.onReadFailed({"servers", "timeout", false}, at(900ms));
  wire::feed_news News = news(7, 8, {record(7, "a", nullptr)});
  News.AfterOutage = true;
  auto Changes = Feed.onNews(News, at(1000ms));
  ASSERT_EQ(Changes.size(), 1u);
  EXPECT_TRUE(Changes[0].AfterOutage);
}

TEST_F(keyed_feed_test, WholeRead_KeyIsMissing_KeyIsRemoved) {
  startWith({record(5, "a", "x"), record(6, "b", "y")}, 7);
  tick(460ms);
  Feed.onReadFailed({"servers", "status 410", true}, at(470ms));
  auto Read = tick(480ms);
  ASSERT_TRUE(Read);
  EXPECT_TRUE(Read->Whole);
  auto Changes = read(490ms, true, 0, 20, {record(6, "b", "y")});
  ASSERT_EQ(Changes.size(), 1u);
  EXPECT_EQ(Changes[0].Key, "a");
  EXPECT_FALSE(Changes[0].Value);
}

TEST_F(keyed_feed_test, Read_NeverAnswered_IsSentAgain) {
  startWith({}, 7);
  ASSERT_TRUE(tick(460ms));
  EXPECT_FALSE(tick(1300ms));
  EXPECT_FALSE(tick(1400ms)); // timed out; the retry delay begins
  EXPECT_TRUE(Feed.isStoreFailing());
  EXPECT_TRUE(tick(1810ms));
}

TEST_F(keyed_feed_test, Read_AnsweredAfterNewerNews_KeepsTheNewerEnd) {
  startWith({}, 7);
  ASSERT_TRUE(tick(460ms));
  Feed.onNews(news(7, 9, {record(8, "a", "new")}), at(470ms));
  read(480ms, false, 7, 8, {record(7, "a", "old")});
  EXPECT_EQ(Feed.end(), 9);
}

// ------------------------------------------------------------ restored store

// Guards against a configuration that is ignored for good because the store,
// back from a backup, gave its offset out before.
TEST_F(keyed_feed_test, StoreRestored_RecordAtAKnownOffset_IsApplied) {
  startWith({record(6, "a", "x"), record(5, "b", "y")}, 7);
  Feed.onEra(2, at(500ms), /*FromPeer=*/false);
  auto Read = tick(500ms);
  ASSERT_TRUE(Read);
  EXPECT_TRUE(Read->Whole);
  auto Changes = read(505ms, true, 0, 5, {record(4, "a", "new")}, 2);
  ASSERT_EQ(Changes.size(), 2u);
  EXPECT_EQ(Changes[0].Value, "new");
  EXPECT_EQ(Changes[1].Key, "b");
  EXPECT_FALSE(Changes[1].Value);
  // Its owner may not have written it again yet.
  EXPECT_TRUE(Changes[1].AfterOutage);
  EXPECT_EQ(Feed.end(), 5);
}

TEST_F(keyed_feed_test, StoreRestored_AnswerToAnEarlierRead_IsIgnored) {
  startWith({record(6, "a", "x")}, 7);
  ASSERT_TRUE(tick(460ms));
  Feed.onEra(2, at(500ms), /*FromPeer=*/false);
  EXPECT_TRUE(read(505ms, false, 7, 9, {record(8, "a", "old")}, 1).empty());
  EXPECT_TRUE(Announced.empty());
  auto Read = tick(510ms);
  ASSERT_TRUE(Read);
  EXPECT_TRUE(Read->Whole);
}

TEST_F(keyed_feed_test, StoreRestored_NewsOfThePreviousEra_AreIgnored) {
  startWith({record(6, "a", "x")}, 7);
  Feed.onEra(2, at(500ms), /*FromPeer=*/true);
  auto Whole = news(0, 5, {record(4, "a", "new")}, true);
  Whole.Era = 2;
  EXPECT_EQ(Feed.onNews(Whole, at(510ms)).size(), 1u);
  auto Old = news(7, 9, {record(8, "a", "old")});
  Old.Era = 1;
  EXPECT_TRUE(Feed.onNews(Old, at(520ms)).empty());
  EXPECT_EQ(Feed.end(), 5);
}

// Hundreds of entries must not all read everything at once.
TEST_F(keyed_feed_test, StoreRestored_LearnedFromAPeer_WaitsForItsNews) {
  startWith({record(6, "a", "x")}, 7);
  Feed.onEra(2, at(500ms), /*FromPeer=*/true);
  EXPECT_FALSE(tick(500ms + news_arrival_timeout - 1ms, 3));
  auto Whole = news(0, 5, {record(4, "a", "new")}, true);
  Whole.Era = 2;
  Feed.onNews(Whole, at(600ms));
  EXPECT_FALSE(tick(500ms + news_arrival_timeout, 3));
}

TEST_F(keyed_feed_test, StoreRestored_PeersNewsDoNotArrive_ReadsEverything) {
  startWith({record(6, "a", "x")}, 7);
  Feed.onEra(2, at(500ms), /*FromPeer=*/true);
  duration Delay =
      news_arrival_timeout + 3 * (reader_stagger + restored_read_stagger);
  EXPECT_FALSE(tick(500ms + Delay - 1ms, 3));
  auto Read = tick(500ms + Delay, 3);
  ASSERT_TRUE(Read);
  EXPECT_TRUE(Read->Whole);
}

// ----------------------------------------------------------------- relayed

} // namespace
} // namespace monsoonreel
