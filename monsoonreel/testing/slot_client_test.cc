#include "monsoonreel/slot_client.h"

#include <gtest/gtest.h>

#include "monsoonreel/incarnation.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An entry of zone norte with two other entries in the zone, and a pool with
// cells in two zones.
class slot_client_test : public ::testing::Test {
protected:
  slot_client_test()
      : Now(std::chrono::hours(1)),
        Client(slot_client::builder()
                   .self({node_name("self"), zone_name("norte"), address("0"),
                          incarnation{9}})
                   .build()) {
    service_class Class;
    Class.Name = class_name("chat");
    Configuration.Classes[Class.Name] = Class;
    addUpstream("n1", "norte");
    addUpstream("s1", "sur");
    Client.setConfiguration(Configuration, Now, Effects, Outcomes);
    Client.setPeers({peer("a", "norte"), peer("b", "norte"), peer("c", "sur")});
    cell_name Cell("model@norte#0");
    Order =
        cell_owners({Cell}, {node_name("a"), node_name("b"), node_name("self")})
            .preferenceOrder(Cell);
  }

  static slot_peer peer(const char *Name, const char *Zone) {
    return {node_name(Name), address(Name), zone_name(Zone)};
  }
  void addUpstream(const char *Name, const char *Zone) {
    upstream &Member = Configuration.Upstreams[upstream_name(Name)];
    Member.Name = upstream_name(Name);
    Member.Pool = pool_name("model");
    Member.Zone = zone_name(Zone);
  }
  slot_request makeRequest(bool Idempotent) const {
    slot_request Request;
    Request.Request = request_id{1};
    Request.Pool = pool_name("model");
    Request.Class = class_name("chat");
    Request.Target = Now + seconds(5);
    Request.WaitDeadline = Now + seconds(10);
    Request.Idempotent = Idempotent;
    return Request;
  }
  void ask(bool Idempotent = true) {
    Client.ask(makeRequest(Idempotent), Now, 0, Effects, Outcomes);
  }
  void tick(duration Passed) {
    Now += Passed;
    Client.onTick(Now, 0, Effects, Outcomes);
  }
  void receive(const std::string &From, const wire::peer_message &Message) {
    Client.onMessage(node_name(From), address(From), Message, Now, Effects,
                     Outcomes);
  }
  void grant(const std::string &From, int64_t Ask, int64_t Slot) {
    wire::slot_grant Grant;
    Grant.Ask = Ask;
    Grant.Slot = Slot;
    Grant.Upstream = "n1";
    Grant.OwnerIncarnation = 4;
    receive(From, Grant);
  }
  void refuse(const std::string &From, int64_t Ask,
              wire::refusal_reason::type Reason) {
    wire::slot_refuse Refuse;
    Refuse.Ask = Ask;
    Refuse.Reason = Reason;
    Refuse.RetryAfterMicros = 700000;
    receive(From, Refuse);
  }
  // The latest message of type T that was sent, and its receiver.
  template <typename T> const T *sent(std::string *To = nullptr) const {
    for (auto It = Effects.rbegin(); It != Effects.rend(); ++It)
      if (const auto *Send = std::get_if<send_message>(&*It))
        if (const auto *Message = std::get_if<T>(&Send->Message)) {
          if (To)
            *To = Send->To.Value;
          return Message;
        }
    return nullptr;
  }
  std::string askedOwner() const {
    std::string To;
    return sent<wire::slot_ask>(&To) ? To : "";
  }

  steady_time Now;
  configuration Configuration;
  slot_client Client;
  std::vector<node_name> Order;
  effect_list Effects;
  slot_outcome_list Outcomes;
};

// The tests below hold for any position of the entry itself in the order.
TEST_F(slot_client_test, Owners_AllSilent_EntryServesItself) {
  std::vector<std::string> Expected;
  for (const node_name &Name : Order) {
    if (Name.Value == "self")
      break;
    Expected.push_back(Name.Value);
  }
  ask();
  for (const std::string &Owner : Expected) {
    EXPECT_TRUE(Outcomes.empty());
    EXPECT_EQ(askedOwner(), Owner);
    tick(ask_timeout + milliseconds(50));
  }
  ASSERT_EQ(Outcomes.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<slot_granted>(Outcomes[0]));
}

// A request whose first owner is another entry.
class remote_owner_test : public slot_client_test {
protected:
  remote_owner_test() {
    ask();
    Owner = askedOwner();
  }
  std::string Owner;
};

TEST_F(remote_owner_test, Owner_ConfirmsQueueing_NextOwnerIsNotAsked) {
  ASSERT_FALSE(Owner.empty()) << "the fixture's names make the entry the owner";
  int64_t First = sent<wire::slot_ask>()->Ask;
  wire::slot_queued Queued;
  Queued.Ask = First;
  receive(Owner, Queued);
  tick(ask_timeout * 2);
  EXPECT_EQ(sent<wire::slot_ask>()->Ask, First);
  tick(ask_repeat_period); // the ask is repeated to check that the owner lives
  EXPECT_EQ(sent<wire::slot_ask>()->Ask, First);
  tick(ask_timeout + milliseconds(50)); // no answer this time
  EXPECT_TRUE(Outcomes.size() == 1 || askedOwner() != Owner);
}

TEST_F(remote_owner_test, Grant_ForCancelledAsk_IsReleased) {
  int64_t Ask = sent<wire::slot_ask>()->Ask;
  Client.cancel(request_id{1}, Now, Effects, Outcomes);
  EXPECT_EQ(sent<wire::slot_cancel>()->Ask, Ask);
  grant(Owner, Ask, 31);
  EXPECT_TRUE(Outcomes.empty());
  ASSERT_TRUE(sent<wire::slot_release>());
  EXPECT_EQ(sent<wire::slot_release>()->Slot, 31);
  EXPECT_EQ(sent<wire::slot_release>()->Result, wire::slot_result::NeverSent);
}

TEST_F(remote_owner_test, Grant_ForAskOfEarlierIncarnation_IsReleased) {
  int64_t Earlier = sent<wire::slot_ask>()->Ask;
  incarnation Later{9 + (1 << incarnation_name_bits)};
  slot_client Restarted =
      slot_client::builder()
          .self({node_name("self"), zone_name("norte"), address("0"), Later})
          .build();
  Restarted.setConfiguration(Configuration, Now, Effects, Outcomes);
  Restarted.setPeers({peer("a", "norte"), peer("b", "norte")});
  Restarted.ask(makeRequest(true), Now, 0, Effects, Outcomes);
  wire::slot_grant Grant;
  Grant.Ask = Earlier;
  Grant.Slot = 31;
  Restarted.onMessage(node_name(Owner), address(Owner), Grant, Now, Effects,
                      Outcomes);
  EXPECT_TRUE(Outcomes.empty());
  ASSERT_TRUE(sent<wire::slot_release>());
  EXPECT_EQ(sent<wire::slot_release>()->Slot, 31);
}

TEST_F(remote_owner_test, Grant_OfAnotherOwnerWithTheSameSlot_IsReleased) {
  grant(Owner, sent<wire::slot_ask>()->Ask, 31);
  grant("c", 77, 31);
  std::string To;
  ASSERT_TRUE(sent<wire::slot_release>(&To));
  EXPECT_EQ(To, "c");
}

TEST_F(remote_owner_test, Grant_ForWithdrawnAskWithoutMechanism_LeaksSlot) {
  disabled_mechanism Without(mechanism::StaleGrantRelease);
  int64_t Ask = sent<wire::slot_ask>()->Ask;
  Client.cancel(request_id{1}, Now, Effects, Outcomes);
  grant(Owner, Ask, 31);
  EXPECT_FALSE(sent<wire::slot_release>());
}

TEST_F(remote_owner_test, Grant_Duplicated_SlotIsKept) {
  int64_t Ask = sent<wire::slot_ask>()->Ask;
  grant(Owner, Ask, 31);
  grant(Owner, Ask, 31);
  EXPECT_EQ(Outcomes.size(), 1U);
  EXPECT_FALSE(sent<wire::slot_release>());
  tick(renewal_period);
  ASSERT_TRUE(sent<wire::slot_renew>());
  EXPECT_EQ(sent<wire::slot_renew>()->Slots, std::vector<int64_t>{31});
}

TEST_F(remote_owner_test, Refusal_OwnerShutsDown_NextOwnerIsAsked) {
  refuse(Owner, sent<wire::slot_ask>()->Ask,
         wire::refusal_reason::ShuttingDown);
  EXPECT_TRUE(Outcomes.size() == 1 || askedOwner() != Owner);
}

TEST_F(remote_owner_test, Owner_IsNoLongerAPeer_IsNotAskedAgain) {
  std::vector<slot_peer> Rest;
  for (const char *Name : {"a", "b"})
    if (Name != Owner)
      Rest.push_back(peer(Name, "norte"));
  Client.setPeers(Rest);
  tick(milliseconds(50));
  EXPECT_TRUE(Outcomes.size() == 1 || askedOwner() != Owner);
  Outcomes.clear();
  Effects.clear();
  ask();
  EXPECT_TRUE(Outcomes.size() == 1 || askedOwner() != Owner);
}

TEST_F(remote_owner_test, Configuration_NewPool_ItsCellHasAnOwner) {
  upstream &Member = Configuration.Upstreams[upstream_name("n2")];
  Member.Name = upstream_name("n2");
  Member.Pool = pool_name("new");
  Member.Zone = zone_name("norte");
  Client.setConfiguration(Configuration, Now, Effects, Outcomes);
  cell_name Cell("new@norte#0");
  cell_owners Owners({cell_name("model@norte#0"), Cell}, Order);
  ASSERT_NE(Owners.preferenceOrder(Cell).at(0), node_name("self"));
  Effects.clear();
  slot_request Request;
  Request.Request = request_id{2};
  Request.Pool = pool_name("new");
  Request.Class = class_name("chat");
  Request.WaitDeadline = Now + seconds(10);
  Request.Idempotent = true;
  Client.ask(Request, Now, 0, Effects, Outcomes);
  EXPECT_EQ(askedOwner(), Owners.preferenceOrder(Cell)[0].Value);
}

TEST_F(remote_owner_test, Refusal_ShortNamesUnknown_NamesAreSentInFull) {
  wire::slot_ask First = *sent<wire::slot_ask>();
  EXPECT_NE(First.Pool, "model@norte#0");
  EXPECT_NE(First.ServiceClass, "chat");
  refuse(Owner, First.Ask, wire::refusal_reason::NoUpstream);
  wire::slot_ask Second = *sent<wire::slot_ask>();
  EXPECT_EQ(askedOwner(), Owner);
  EXPECT_EQ(Second.Pool, "model@norte#0");
  EXPECT_EQ(Second.ServiceClass, "chat");
  refuse(Owner, Second.Ask, wire::refusal_reason::NoUpstream);
  EXPECT_EQ(askedOwner(), "c"); // the owner of the cell in the other zone
}

TEST_F(remote_owner_test, Refusal_NoKnownRoomElsewhere_IsPassedOnAtOnce) {
  refuse(Owner, sent<wire::slot_ask>()->Ask,
         wire::refusal_reason::TargetUnreachable);
  ASSERT_EQ(Outcomes.size(), 1U);
  const auto &Refused = std::get<slot_refused>(Outcomes[0]);
  EXPECT_EQ(Refused.RetryAfter, milliseconds(700));
}

TEST_F(remote_owner_test, Refusal_OtherZoneHasRoom_IdempotentGoesThere) {
  wire::pool_load Load;
  Load.Pool = "model@sur#0";
  Load.FreeSlots = 3;
  Client.onLoads({Load}, Now);
  refuse(Owner, sent<wire::slot_ask>()->Ask,
         wire::refusal_reason::TargetUnreachable);
  EXPECT_TRUE(Outcomes.empty());
  EXPECT_EQ(askedOwner(), "c");
}

TEST_F(remote_owner_test, Refusal_OtherZoneHasRoom_NonIdempotentStays) {
  Client.cancel(request_id{1}, Now, Effects, Outcomes);
  ask(false);
  wire::pool_load Load;
  Load.Pool = "model@sur#0";
  Load.FreeSlots = 3;
  Client.onLoads({Load}, Now);
  refuse(Owner, sent<wire::slot_ask>()->Ask,
         wire::refusal_reason::TargetUnreachable);
  ASSERT_EQ(Outcomes.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<slot_refused>(Outcomes[0]));
}

// The entry has asked for the only free slot that the other zone reported. Then
// it receives that zone's load again.
class load_update_test : public remote_owner_test {
protected:
  load_update_test() {
    Load.Pool = "model@sur#0";
    Load.FreeSlots = 1;
    Client.onLoads({Load}, Now);
    refuse(Owner, sent<wire::slot_ask>()->Ask,
           wire::refusal_reason::TargetUnreachable);
    EXPECT_EQ(askedOwner(), "c");
  }
  void receiveLoad(duration Passed, duration Age) {
    Now += Passed;
    Load.AgeMicros = toMicros(Age);
    Client.onLoads({Load}, Now);
  }
  // Whether the request goes to the other zone when the entry's own zone
  // refuses it.
  bool goesOutside() {
    ask();
    std::string Asked = askedOwner();
    refuse(Asked, sent<wire::slot_ask>()->Ask,
           wire::refusal_reason::TargetUnreachable);
    return askedOwner() == "c";
  }

  wire::pool_load Load;
};

TEST_F(load_update_test, Load_ReceivedAgainWithItsAge_OwnAskStillCounts) {
  receiveLoad(milliseconds(150), milliseconds(150));
  EXPECT_FALSE(goesOutside());
}

TEST_F(load_update_test, Load_ReceivedAgainOnSlowerPath_OwnAskStillCounts) {
  receiveLoad(milliseconds(150), milliseconds(120));
  EXPECT_FALSE(goesOutside());
}

TEST_F(load_update_test, Load_OlderThanTheKnownOne_IsIgnored) {
  Load.FreeSlots = 2;
  receiveLoad(milliseconds(150), milliseconds(400));
  EXPECT_FALSE(goesOutside());
}

TEST_F(load_update_test, Load_NewWithTheSameFigures_HasRoom) {
  receiveLoad(milliseconds(200), milliseconds(2));
  EXPECT_TRUE(goesOutside());
}

TEST_F(load_update_test, Load_NewWithOtherFigures_HasRoom) {
  Load.FreeSlots = 2;
  receiveLoad(milliseconds(20), milliseconds(10));
  EXPECT_TRUE(goesOutside());
}

TEST_F(remote_owner_test, Deadline_OwnerNeverDecides_IsAnsweredAtOnce) {
  wire::slot_queued Queued;
  Queued.Ask = sent<wire::slot_ask>()->Ask;
  receive(Owner, Queued);
  tick(seconds(10));
  ASSERT_EQ(Outcomes.size(), 1U);
  EXPECT_EQ(std::get<slot_refused>(Outcomes[0]).Reason,
            wire::refusal_reason::DeadlinePassed);
}

} // namespace
} // namespace monsoonreel
