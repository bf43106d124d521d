#include "monsoonreel/membership.h"

#include <gtest/gtest.h>

#include "monsoonreel/mechanism.h"
#include "monsoonreel/rendezvous.h"
#include "monsoonreel/testing/member_network.h"

namespace monsoonreel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class membership_test : public ::testing::Test {
protected:
  // Starts the zones east and west with Count nodes each and runs until all
  // nodes know each other.
  void startZones(int Count) {
    for (int Index = 0; Index < Count; ++Index) {
      Network.add("e" + std::to_string(Index), "east");
      Network.add("w" + std::to_string(Index), "west");
    }
    Network.run(seconds(15));
  }
  // Whether Viewer considers Name dead at any time during Time.
  bool diesDuring(duration Time, const std::string &Viewer,
                  const std::string &Name) {
    for (duration Passed{}; Passed < Time; Passed += milliseconds(100)) {
      Network.run(milliseconds(100));
      if (Network.stateOf(Viewer, Name) == wire::member_state::Dead)
        return true;
    }
    return false;
  }
  // Cuts all links between the zones.
  void cutZones(int Count) {
    for (int East = 0; East < Count; ++East)
      for (int West = 0; West < Count; ++West)
        Network.cut("e" + std::to_string(East), "w" + std::to_string(West));
  }

  member_network Network;
};

TEST_F(membership_test, Nodes_OneSeedKnown_AllKnowAll) {
  startZones(5);
  for (int Index = 0; Index < 5; ++Index) {
    membership &Node = Network.node("w" + std::to_string(Index));
    EXPECT_EQ(Node.alive(wire::member_role::Entry).size(), 10U);
    EXPECT_EQ(Node.alive(wire::member_role::Entry, zone_name("west")).size(),
              5U);
  }
}

TEST_F(membership_test, StoppedNode_AfterSuspicion_IsDeadEverywhere) {
  startZones(4);
  Network.stop("e2");
  Network.run(seconds(15));
  for (const char *Viewer : {"e0", "e1", "e3", "w0", "w1", "w2", "w3"})
    EXPECT_EQ(Network.stateOf(Viewer, "e2"), wire::member_state::Dead);
}

TEST_F(membership_test, RestartedNode_HigherIncarnation_IsAliveAgain) {
  startZones(4);
  Network.stop("e2");
  Network.run(seconds(15));
  Network.add("e2", "east");
  Network.run(seconds(10));
  for (const char *Viewer : {"e0", "e1", "e3", "w0"})
    EXPECT_EQ(Network.stateOf(Viewer, "e2"), wire::member_state::Alive);
}

// A short pause must not make a node dead: it refutes the suspicion.
TEST_F(membership_test, PausedNode_BackBeforeSuspicionEnds_NeverDies) {
  startZones(4);
  Network.stop("e2");
  Network.run(seconds(3));
  EXPECT_EQ(Network.stateOf("e0", "e2"), wire::member_state::Suspect);
  Network.resume("e2");
  EXPECT_FALSE(diesDuring(seconds(15), "e0", "e2"));
  EXPECT_EQ(Network.stateOf("e0", "e2"), wire::member_state::Alive);
  EXPECT_GT(Network.seenBy("e0", "e2")->Refutation, 0);
}

TEST_F(membership_test, PausedNode_WithoutSuspicion_IsHeldDead) {
  startZones(4);
  disabled_mechanism Disabled(mechanism::SuspicionBeforeDeath);
  Network.stop("e2");
  EXPECT_TRUE(diesDuring(seconds(3), "e0", "e2"));
}

// A node that was paused must not suspect others because their answers are
// missing.
TEST_F(membership_test, PausedNode_AfterThaw_SuspectsNobody) {
  startZones(4);
  for (int Round = 0; Round < 5; ++Round) {
    // These probes are unanswered when the node is paused.
    for (const char *Name : {"e0", "e1", "e3", "w0", "w1", "w2", "w3"})
      Network.cut("e2", Name);
    Network.run(milliseconds(800));
    Network.stop("e2");
    Network.healAll();
    Network.run(seconds(3));
    Network.resume("e2");
    Network.run(member_network::step);
    Network.run(seconds(10));
    for (const char *Name : {"e0", "e1", "e3", "w0", "w1"})
      EXPECT_EQ(Network.seenBy("e2", Name)->Refutation, 0);
  }
}

TEST_F(membership_test, LostLinkBetweenTwo_OthersReachBoth_NobodyIsSuspected) {
  startZones(4);
  Network.cut("e0", "e1");
  EXPECT_FALSE(diesDuring(seconds(60), "e0", "e1"));
  EXPECT_EQ(Network.seenBy("e0", "e1")->Refutation, 0);
}

TEST_F(membership_test, LostLinkBetweenTwo_WithoutIndirectProbe_IsSuspected) {
  startZones(4);
  disabled_mechanism Disabled(mechanism::IndirectProbe);
  Network.cut("e0", "e1");
  Network.run(seconds(60));
  EXPECT_GT(Network.seenBy("e2", "e1")->Refutation +
                Network.seenBy("e2", "e0")->Refutation,
            0);
}

TEST_F(membership_test, SilentLink_ProbeUnanswered_IsReset) {
  startZones(4);
  Network.silence("e0", "e1");
  // The answers of e3 to e2 are lost; only e3 can reset this connection.
  Network.silence("e3", "e2");
  Network.run(seconds(10));
  EXPECT_FALSE(Network.isSilent("e0", "e1"));
  EXPECT_FALSE(Network.isSilent("e3", "e2"));
}

TEST_F(membership_test, SilentLink_WithoutReset_StaysSilent) {
  startZones(4);
  disabled_mechanism Disabled(mechanism::SilentLinkReset);
  Network.silence("e0", "e1");
  Network.run(seconds(10));
  EXPECT_TRUE(Network.isSilent("e0", "e1"));
}

TEST_F(membership_test, ZonesCutOff_GoOnAlone_AndMergeWhenHealed) {
  startZones(4);
  cutZones(4);
  Network.run(seconds(60));
  EXPECT_EQ(Network.node("e0").alive(wire::member_role::Entry).size(), 4U);
  EXPECT_EQ(Network.node("w0").alive(wire::member_role::Entry).size(), 4U);
  Network.healAll();
  Network.run(seconds(30));
  EXPECT_EQ(Network.node("e0").alive(wire::member_role::Entry).size(), 8U);
  EXPECT_EQ(Network.node("w3").alive(wire::member_role::Entry).size(), 8U);
}

TEST_F(membership_test, ZonesCutOff_WithoutReconnectProbe_StayApart) {
  startZones(4);
  disabled_mechanism Disabled(mechanism::ReconnectProbe);
  cutZones(4);
  Network.run(seconds(60));
  Network.healAll();
  Network.run(seconds(30));
  EXPECT_EQ(Network.node("e0").alive(wire::member_role::Entry).size(), 4U);
}

TEST_F(membership_test, LeavingNode_Announced_GetsNoNewWork) {
  startZones(4);
  Network.node("e2").announceLeaving();
  Network.run(seconds(4));
  EXPECT_EQ(Network.node("e0")
                .alive(wire::member_role::Entry, zone_name("east"))
                .size(),
            3U);
  EXPECT_TRUE(Network.node("e0").mayBeRunning(
      incarnation{Network.seenBy("e0", "e2")->Incarnation}));
}

TEST_F(membership_test, VmList_MarksAndOmits_DeclaresNobodyDead) {
  startZones(2);
  membership &Node = Network.node("e0");
  vm_list_read List;
  List.Vms = {{node_name("vm-1"), zone_name("east"), address("e1"), true},
              {node_name("vm-9"), zone_name("east"), address("e9"), false}};
  Node.onVmList(List, Network.now());
  EXPECT_EQ(Node.alive(wire::member_role::Entry, zone_name("east")).size(), 1U);
  // No node of the west is in the list, which must not have any effect.
  EXPECT_EQ(Node.alive(wire::member_role::Entry, zone_name("west")).size(), 2U);
  // A node that is found only through the list.
  Network.add("e9", "east");
  Network.run(seconds(30));
  EXPECT_EQ(Network.stateOf("e0", "e9"), wire::member_state::Alive);
  // The marks of the list have expired.
  Network.run(seconds(60));
  EXPECT_EQ(Node.alive(wire::member_role::Entry, zone_name("east")).size(), 3U);
}

TEST_F(membership_test, HostileGossip_ManyMembers_StaysBounded) {
  startZones(2);
  wire::heartbeat Beat;
  Beat.__set_Sender(Network.node("e1").self());
  for (size_t Index = 0; Index < 2 * max_members; ++Index) {
    wire::member Member = Beat.Sender;
    Member.Name = "x" + std::to_string(Index);
    Beat.Gossip.push_back(Member);
  }
  Beat.Gossip.front().Name = std::string(size_t{1} << 16, 'x');
  effect_list Effects;
  Network.node("e0").onMessage({node_name("e1"), address("e1:7100"), Beat},
                               Network.now(), Effects);
  EXPECT_LE(Network.node("e0").liveCount(), max_members + 1);
}

// Tests of memberships without a network. The test delivers each message.
class membership_message_test : public ::testing::Test {
protected:
  static node_identity identityOf(const std::string &Name, int64_t Run = 1) {
    return {node_name(Name), zone_name("east"), address(Name + ":7100"),
            incarnation{Run}};
  }
  static wire::member memberOf(const std::string &Name) {
    return makeMember(Name, incarnation{1});
  }
  // Delivers a list of Count members to Node, from a member named "first".
  void takeList(membership &Node, int Count) {
    wire::heartbeat_ack Ack;
    Ack.__set_Sender(memberOf("first"));
    for (int Index = 0; Index < Count; ++Index)
      Ack.Gossip.push_back(memberOf("m" + std::to_string(Index)));
    receive(Node, "first", Ack);
  }
  effect_list receive(membership &Node, const std::string &From,
                      const wire::peer_message &Message) {
    effect_list Effects;
    Node.onMessage({node_name(From), address(From + ":7100"), Message}, Now,
                   Effects);
    return Effects;
  }
  effect_list tick(membership &Node) {
    effect_list Effects;
    Node.onTick(Now, ++Random, log_offset(), Effects);
    return Effects;
  }
  // Returns the first message of type T in the effects.
  template <typename T> static std::optional<T> find(const effect_list &List) {
    for (const effect &Effect : List)
      if (const auto *Send = std::get_if<send_message>(&Effect))
        if (const auto *Found = std::get_if<T>(&Send->Message))
          return *Found;
    return std::nullopt;
  }

  steady_time Now{std::chrono::hours(1)};
  uint64_t Random = 0;
};

TEST_F(membership_message_test, JoiningNode_WithWholeList_GossipsNoneOfIt) {
  membership Node(identityOf("a"), wire::member_role::Entry, {});
  takeList(Node, 20);
  EXPECT_EQ(Node.liveCount(), 22U);
  auto Beat = find<wire::heartbeat>(tick(Node));
  ASSERT_TRUE(Beat);
  // The member that sent the list, and a random one.
  EXPECT_LE(Beat->Gossip.size(), 2U);
}

TEST_F(membership_message_test, MissedMember_DigestsDiffer_IsInTheAnswer) {
  membership Knowing(identityOf("a"), wire::member_role::Entry, {});
  takeList(Knowing, 6);
  membership Other(identityOf("b"), wire::member_role::Entry,
                   {address("a:7100")});
  for (int Round = 0; Round < 30; ++Round) {
    Now += seconds(1);
    wire::heartbeat Beat;
    Beat.__set_Sender(Other.self());
    auto Probe = find<wire::heartbeat>(tick(Other));
    if (Probe && Probe->__isset.MembersDigest)
      Beat.__set_MembersDigest(Probe->MembersDigest);
    auto Ack =
        find<wire::heartbeat_ack>(receive(Knowing, "b", std::move(Beat)));
    ASSERT_TRUE(Ack);
    EXPECT_LE(Ack->Gossip.size(), max_gossip_members + 1);
    receive(Other, "a", *Ack);
  }
  EXPECT_EQ(Other.liveCount(), Knowing.liveCount());
}

// The short form has no address, so it may only be sent to a process that has
// acknowledged the full form. A restarted receiver can't resolve it and must
// learn the sender from the retry.
TEST_F(membership_message_test, RestartedReceiver_OfAShortForm_AnswersRetry) {
  membership Node(identityOf("a"), wire::member_role::Entry,
                  {address("b:7100")});
  membership Peer(identityOf("b"), wire::member_role::Entry, {});
  std::optional<wire::heartbeat> Beat;
  for (int Round = 0; Round < 5; ++Round) {
    Now += seconds(1);
    Beat = find<wire::heartbeat>(tick(Node));
    ASSERT_TRUE(Beat);
    EXPECT_TRUE(Round > 0 || Beat->__isset.Sender);
    auto Ack = find<wire::heartbeat_ack>(receive(Peer, "a", *Beat));
    ASSERT_TRUE(Ack);
    receive(Node, "b", *Ack);
  }
  EXPECT_FALSE(Beat->__isset.Sender);
  Now += seconds(1);
  Beat = find<wire::heartbeat>(tick(Node));
  membership Restarted(identityOf("b", 2), wire::member_role::Entry, {});
  EXPECT_FALSE(
      find<wire::heartbeat_ack>(receive(Restarted, "a", Beat.value())));
  Now += direct_probe_timeout;
  Beat = find<wire::heartbeat>(tick(Node));
  ASSERT_TRUE(Beat);
  EXPECT_TRUE(Beat->__isset.Sender);
  auto Ack = find<wire::heartbeat_ack>(receive(Restarted, "a", *Beat));
  ASSERT_TRUE(Ack);
  receive(Node, "b", *Ack);
  EXPECT_EQ(Node.find(node_name("b"))->Incarnation, 2);
}

TEST_F(membership_test, QuietSite_Heartbeats_CarryOnlyWhatIsNeeded) {
  startZones(6);
  Network.run(seconds(60));
  auto Bytes = [&] {
    return Network.bytesSentBy("e1") + Network.bytesReceivedBy("e1");
  };
  size_t Before = Bytes();
  Network.run(seconds(40));
  // About five messages per second.
  constexpr size_t Messages = 200;
  constexpr size_t MessageBytes = 50;
  EXPECT_LT(Bytes() - Before, Messages * MessageBytes);
}

TEST_F(membership_test, LedgerOffset_EqualInTwoZones_OwnZoneIsFirst) {
  startZones(3);
  Network.setOffset("e1", 7);
  Network.setOffset("w1", 7);
  Network.run(seconds(40));
  std::vector<ledger_peer> Ahead = Network.node("e0").highestLedgerOffset();
  ASSERT_EQ(Ahead.size(), 2U);
  EXPECT_EQ(Ahead[0].Name, node_name("e1"));
  EXPECT_EQ(Ahead[0].Offset, log_offset{7});
}

TEST_F(membership_test, PoolLoad_OfAnOwner_ReachesTheZoneAndExpires) {
  startZones(6);
  wire::pool_load Load;
  Load.Pool = "chat";
  Load.FreeSlots = 5;
  Network.node("e3").setOwnLoads({Load}, Network.now());
  Network.run(seconds(6));
  for (const char *Viewer : {"e0", "e1", "e5"}) {
    auto Loads = Network.node(Viewer).receivedLoads(Network.now());
    ASSERT_EQ(Loads.size(), 1U) << Viewer;
    EXPECT_EQ(Loads[0].Owner, "e3");
    EXPECT_GE(fromMicros(Loads[0].AgeMicros), seconds(5));
  }
  // The owner does not update the load, and forwarding does not reset its age.
  Network.run(pool_load_retention);
  EXPECT_TRUE(Network.node("e0").receivedLoads(Network.now()).empty());
}

TEST_F(membership_test, RendezvousOrder_MemberLost_OnlyItsKeysMove) {
  startZones(5);
  auto All = Network.node("e0").alive(wire::member_role::Entry);
  std::vector<wire::member> Fewer(All.begin() + 1, All.end());
  int Moved = 0;
  for (int Index = 0; Index < 200; ++Index) {
    std::string Key = "pool-" + std::to_string(Index);
    auto Before = rendezvousOrder(Key, All);
    auto After = rendezvousOrder(Key, Fewer);
    bool Lost = Before[0].Name == All[0].Name;
    EXPECT_EQ(After[0].Name, Before[Lost ? 1 : 0].Name);
    Moved += Lost ? 1 : 0;
  }
  EXPECT_GT(Moved, 5);
  EXPECT_LT(Moved, 50);
}

} // namespace
} // namespace monsoonreel
