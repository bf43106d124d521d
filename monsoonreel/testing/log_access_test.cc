// Tests of the follower and the writer of a stream.

#include "monsoonreel/log_follower.h"
#include "monsoonreel/record_writer.h"

#include <gtest/gtest.h>

#include "monsoonreel/stream_replica.h"
#include "monsoonreel/testing/fake_platform.h"
#include "monsoonreel/testing/records.h"

namespace monsoonreel {
namespace {

using namespace monsoonreel::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

class log_access_test : public ::testing::Test {
protected:
  static node_identity identity() {
    return {node_name("s1"), zone_name("north"), address("127.0.0.1:1"),
            incarnation{41}};
  }

  log_access_test() { Replica.follower().setFollowing(true); }

  // Ticks the replica for Span and carries out its effects.
  void run(duration Span) {
    for (steady_time End = Now + Span; Now < End; Now += tick_period) {
      effect_list Effects;
      Replica.onTick(Now, 0, Effects);
      for (size_t Place = 0; Place < Effects.size(); ++Place)
        if (std::optional<event_body> Answer =
                Platform.carryOut(Effects[Place]))
          Replica.onEvent({Now, {}, 0, *Answer}, Effects);
    }
  }
  size_t recordCount() { return Platform.records(Stream).size(); }
  void fill(int Count) {
    for (int Number = 0; Number < Count; ++Number) {
      wire::log_record Record = appendUsage(makeBatch(9, ++Filled, 10));
      Record.Incarnation = 9;
      Record.Sequence = Filled;
      Platform.append(Stream, Record);
    }
  }

  const std::string Stream{usage_stream};
  int64_t Filled = 0;
  steady_time Now{seconds(1000)};
  fake_platform Platform;
  call_counter Calls;
  stream_replica Replica{usage_stream, identity(), Calls};
};

TEST_F(log_access_test, Follower_LongLog_ReadsAllOfIt) {
  fill(180);
  run(seconds(1));
  EXPECT_EQ(Replica.applied(), log_offset{180});
  EXPECT_TRUE(Replica.follower().isCaughtUp());
}

TEST_F(log_access_test, Follower_PlatformOut_BacksOffAndGoesOn) {
  Platform.Out = true;
  run(seconds(20));
  fill(3);
  EXPECT_FALSE(Replica.follower().isCaughtUp());
  Platform.Out = false;
  run(read_timeout + read_backoff_max);
  EXPECT_EQ(Replica.applied(), log_offset{3});
}

TEST_F(log_access_test, Follower_RecordsDropped_StartsFromASnapshot) {
  fill(60);
  ledger Other(usage_stream);
  effect_list Effects;
  for (const std::string &Bytes : Platform.records(Stream))
    Other.apply(log_offset{Other.applied().Value + 1}, Bytes, Effects);
  fill(2);
  wire::log_record Snapshot = coverBySnapshot(60, Other.state());
  Snapshot.Incarnation = 8;
  Snapshot.Sequence = 1;
  Platform.append(Stream, Snapshot);
  fill(5);
  Platform.dropBefore(Stream, log_offset{40});
  run(seconds(1));
  EXPECT_EQ(Replica.applied(), log_offset{68});
  EXPECT_EQ(Replica.state().openUsage()[0].OutputTokens, 670);
}

// A snapshot can be used only if all records after its covered offset are
// available.
TEST_F(log_access_test, Follower_SnapshotBeforeTheHorizon_IsNotUsed) {
  fill(60);
  wire::log_record Snapshot = coverBySnapshot(20, wire::ledger_state());
  Snapshot.Incarnation = 8;
  Snapshot.Sequence = 1;
  Platform.append(Stream, Snapshot);
  Platform.dropBefore(Stream, log_offset{40});
  run(seconds(1));
  EXPECT_EQ(Replica.applied(), log_offset{0});
  EXPECT_FALSE(Replica.follower().isCaughtUp());
}

TEST_F(log_access_test, Writer_AnswersLost_RecordCountsOnce) {
  Replica.follower().setFollowing(false);
  Platform.LoseAnswer = true;
  Replica.writer().enqueue(appendUsage(makeBatch(5, 1, 10)));
  run(append_timeout * 3);
  EXPECT_GE(recordCount(), 3u);
  Platform.LoseAnswer = false;
  Replica.follower().setFollowing(true);
  run(seconds(1));
  EXPECT_EQ(Replica.state().openUsage()[0].OutputTokens, 10);
  EXPECT_EQ(Replica.writer().queued(), 0u);
}

TEST_F(log_access_test, Writer_RecordNotReadBack_SendsNoLaterOne) {
  Replica.follower().setFollowing(false);
  Replica.writer().enqueue(appendUsage(makeBatch(5, 1, 10)));
  Replica.writer().enqueue(appendUsage(makeBatch(5, 2, 20)));
  run(seconds(1));
  EXPECT_EQ(recordCount(), 1u);
  Replica.follower().setFollowing(true);
  run(seconds(1));
  EXPECT_EQ(recordCount(), 2u);
  std::vector<written_record> Written = Replica.writer().takeWritten();
  ASSERT_EQ(Written.size(), 2u);
  EXPECT_EQ(Written[1].Offset, log_offset{2});
}

TEST_F(log_access_test, Writer_RecordCoveredBySnapshot_IsDone) {
  Replica.follower().setFollowing(false);
  Replica.writer().enqueue(appendUsage(makeBatch(5, 1, 10)));
  run(seconds(1));
  ledger Other(usage_stream);
  effect_list Effects;
  Other.apply(log_offset{1}, Platform.records(Stream)[0], Effects);
  ASSERT_TRUE(Replica.restoreSnapshot(log_offset{1}, encodeState(Other.state()),
                                      Now, Effects));
  EXPECT_EQ(Replica.writer().queued(), 0u);
}

TEST_F(log_access_test, Writer_QueueFull_RefusesMore) {
  Platform.Out = true;
  for (size_t Count = 0; Count < max_queued_records; ++Count)
    ASSERT_TRUE(Replica.writer().enqueue(windowReported(1)));
  EXPECT_FALSE(Replica.writer().enqueue(windowReported(1)));
}

} // namespace
} // namespace monsoonreel
