#include "monsoonreel/state_sync.h"

#include <gtest/gtest.h>

#include "monsoonreel/key_trust.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

class state_sync_test : public ::testing::Test {
protected:
  struct peer {
    std::unique_ptr<state_sync> Sync;
    std::vector<wire::stored_record> Applied;
    std::vector<wire::snapshot> Snapshots;
  };

  void add(const std::string &Name) {
    node_identity Self{node_name(Name), zone_name("east"), address(Name),
                       incarnation{1}};
    Nodes[Name].Sync = std::make_unique<state_sync>(Self, "operator");
    wire::member Member;
    Member.Name = Name;
    Member.Address = Name;
    Members.push_back(Member);
  }
  static wire::stored_record record(int64_t Offset, size_t Size = 100) {
    wire::stored_record Stored;
    Stored.Offset = Offset;
    Stored.Bytes = std::string(Size, 'r');
    return Stored;
  }
  void readFromLog(const std::string &Name, int64_t First, int64_t Last,
                   size_t Size = 100) {
    std::vector<wire::stored_record> Records;
    for (int64_t Offset = First; Offset <= Last; ++Offset)
      Records.push_back(record(Offset, Size));
    effect_list Effects;
    Nodes[Name].Sync->onLogRecords(Records, Members, ++Random, Effects);
    carryOut(Name, Effects);
  }
  // Ticks Name, whose heartbeats report the highest offsets of the peers Ahead.
  void tick(const std::string &Name, const std::vector<std::string> &Ahead) {
    std::vector<ledger_peer> Peers;
    Peers.reserve(Ahead.size());
    for (const std::string &Peer : Ahead)
      Peers.push_back({node_name(Peer), address(Peer), highest(Peer)});
    effect_list Effects;
    Nodes[Name].Sync->onTick(Now, Peers, Effects);
    carryOut(Name, Effects);
  }
  log_offset highest(const std::string &Name) {
    return Nodes[Name].Sync->highest();
  }
  void carryOut(const std::string &From, const effect_list &Effects) {
    for (const effect &Effect : Effects) {
      const auto *Send = std::get_if<send_message>(&Effect);
      if (!Send || Stopped.contains(Send->To.Value))
        continue;
      ++Messages;
      EXPECT_LE(encodeMessage(Send->Message).size(), max_frame_bytes);
      receive(Send->To.Value, {node_name(From), address(), Send->Message});
    }
  }
  void receive(const std::string &To, const peer_message_received &Received) {
    peer &Node = Nodes[To];
    stream_delivery Delivery;
    effect_list Effects;
    EXPECT_TRUE(Node.Sync->onMessage(Received, Now, Members, ++Random, Delivery,
                                     Effects));
    if (Delivery.Snapshot)
      Node.Snapshots.push_back(*Delivery.Snapshot);
    for (const wire::stored_record &Record : Delivery.Records)
      Node.Applied.push_back(Record);
    carryOut(To, Effects);
  }

  std::map<std::string, peer> Nodes;
  std::vector<wire::member> Members;
  std::set<std::string> Stopped;
  steady_time Now{hours(1)};
  uint64_t Random = 0;
  int Messages = 0;
};

TEST_F(state_sync_test, NewRecord_PushedEagerly_ReachesNearlyAllAtOnce) {
  for (int Index = 0; Index < 40; ++Index)
    add("n" + std::to_string(Index));
  readFromLog("n0", 1, 1);
  int Reached = 0;
  for (auto &[Name, Node] : Nodes)
    Reached += highest(Name) == log_offset{1} ? 1 : 0;
  EXPECT_GT(Reached, 30);
  EXPECT_LE(Messages, 40 * static_cast<int>(eager_fanout));
}

TEST_F(state_sync_test, NewRecord_WithoutEagerPush_WaitsForAPull) {
  disabled_mechanism Disabled(mechanism::EagerPush);
  add("a");
  add("b");
  readFromLog("a", 1, 1);
  EXPECT_EQ(highest("b"), log_offset());
  tick("b", {"a"});
  EXPECT_EQ(highest("b"), log_offset{1});
}

TEST_F(state_sync_test, LargeRecord_IsAnnounced_AndPulledOnce) {
  for (const char *Name : {"a", "b", "c", "d"})
    add(Name);
  readFromLog("a", 1, 1, size_t{100} << 10);
  for (const char *Name : {"b", "c", "d"}) {
    EXPECT_EQ(highest(Name), log_offset{1});
    EXPECT_EQ(Nodes[Name].Applied.size(), 1U);
  }
}

TEST_F(state_sync_test, PeerFarBehind_GetsSnapshotAndTail) {
  add("a");
  Nodes["a"].Sync->keepSnapshot(log_offset{50}, "state");
  readFromLog("a", 51, 60);
  add("b");
  tick("b", {"a"});
  ASSERT_EQ(Nodes["b"].Snapshots.size(), 1U);
  EXPECT_EQ(Nodes["b"].Snapshots[0].CoversOffset, 50);
  EXPECT_EQ(Nodes["b"].Snapshots[0].State, "state");
  ASSERT_EQ(Nodes["b"].Applied.size(), 10U);
  EXPECT_EQ(Nodes["b"].Applied.front().Offset, 51);
  // The node can now send it to others.
  add("c");
  tick("c", {"b"});
  EXPECT_EQ(highest("c"), log_offset{60});
}

TEST_F(state_sync_test, LongTail_ComesInSeveralPushes) {
  add("a");
  readFromLog("a", 1, 40, size_t{50} << 10);
  add("b");
  tick("b", {"a"});
  EXPECT_EQ(highest("b"), log_offset{40});
  EXPECT_GT(Messages, 4);
}

TEST_F(state_sync_test, KeptBytes_OfManyRecords_StayBounded) {
  add("a");
  readFromLog("a", 1, 500, size_t{100} << 10);
  EXPECT_LE(Nodes["a"].Sync->bytes(), max_sync_bytes);
}

TEST_F(state_sync_test, SilentPeer_IsReplacedByAnother) {
  for (const char *Name : {"a", "b", "c"})
    add(Name);
  Stopped = {"c"};
  readFromLog("a", 1, 3);
  readFromLog("b", 1, 3);
  Stopped = {"a"};
  tick("c", {"a", "b"});
  EXPECT_EQ(highest("c"), log_offset());
  Now += pull_timeout;
  tick("c", {"a", "b"});
  EXPECT_EQ(highest("c"), log_offset{3});
}

TEST_F(state_sync_test, OlderState_OfAPeer_IsNeverTaken) {
  add("a");
  readFromLog("a", 1, 10);
  wire::state_push Push;
  Push.Stream = "operator";
  Push.Records = {record(3), record(4)};
  wire::log_record Snapshot;
  Snapshot.Snapshot.CoversOffset = 5;
  Snapshot.__isset.Snapshot = true;
  wire::stored_record Stored;
  Stored.Offset = 5;
  Stored.Bytes = encodeRecord(Snapshot);
  Push.__set_Snapshot(Stored);
  receive("a", {node_name("x"), address("x"), Push});
  EXPECT_TRUE(Nodes["a"].Applied.empty());
  EXPECT_TRUE(Nodes["a"].Snapshots.empty());
  EXPECT_EQ(highest("a"), log_offset{10});
}

TEST_F(state_sync_test, OlderState_WithoutTheRule_BreaksTheInvariant) {
  add("a");
  readFromLog("a", 1, 10);
  disabled_mechanism Disabled(mechanism::OffsetOnlyGrows);
  wire::state_push Push;
  Push.Stream = "operator";
  Push.Records = {record(3)};
  EXPECT_DEATH(receive("a", {node_name("x"), address("x"), Push}),
               "offset-only-grows");
}

TEST_F(state_sync_test, RecordsWithAGap_AreNotApplied) {
  add("a");
  wire::state_push Push;
  Push.Stream = "operator";
  Push.Records = {record(7)};
  receive("a", {node_name("x"), address("x"), Push});
  EXPECT_TRUE(Nodes["a"].Applied.empty());
  EXPECT_EQ(highest("a"), log_offset());
}

class key_trust_test : public ::testing::Test {
protected:
  bool mayTrust(bool Idempotent) const {
    return mayTrustKeys(keyTrustOf(Limits, Idempotent), Freshness, Now);
  }

  policy_limits Limits;
  log_freshness Freshness;
  steady_time Now{hours(100)};
};

TEST_F(key_trust_test, CutOffNode_StopsNonIdempotentFirst) {
  Freshness.onLogRead(log_offset{7}, Now);
  EXPECT_TRUE(mayTrust(false));
  Now += Limits.StaleKeyTrustNonIdempotent + seconds(1);
  EXPECT_FALSE(mayTrust(false));
  EXPECT_TRUE(mayTrust(true));
  Now += Limits.StaleKeyTrust;
  EXPECT_FALSE(mayTrust(true));
}

TEST_F(key_trust_test, CutOffNode_WithoutExpiry_TrustsForEver) {
  disabled_mechanism Disabled(mechanism::KeyTrustExpires);
  Freshness.onLogRead(log_offset{7}, Now);
  Now += hours(1000);
  EXPECT_TRUE(mayTrust(false));
}

TEST_F(key_trust_test, NeverFresh_IsNotTrusted) {
  EXPECT_FALSE(mayTrust(true));
}

TEST_F(key_trust_test, FreshPeer_AheadOfThisNode_CountsOnceApplied) {
  Freshness.onPeer(log_offset{8}, minutes(1), Now);
  EXPECT_FALSE(Freshness.age(Now));
  Freshness.onApplied(log_offset{8});
  EXPECT_EQ(Freshness.age(Now), minutes(1));
}

// Without the check of the offset, a node that lacks the record at offset 8,
// which may be a withdrawal, wrongly counts as fresh.
TEST_F(key_trust_test, FreshPeer_WithoutOffsetRule_HidesAMissingRecord) {
  disabled_mechanism Disabled(mechanism::FreshnessNeedsOffset);
  Freshness.onPeer(log_offset{8}, minutes(1), Now);
  EXPECT_TRUE(Freshness.age(Now));
}

TEST_F(key_trust_test, NegativeAge_FromAPeer_CountsAsZero) {
  Freshness.onPeer(log_offset(), -hours(5), Now);
  Now += minutes(6);
  EXPECT_FALSE(mayTrust(false));
}

} // namespace
} // namespace monsoonreel
