#include "monsoonreel/member_change.h"

#include <gtest/gtest.h>

#include "monsoonreel/membership.h"
#include "monsoonreel/testing/member_network.h"

namespace monsoonreel {
namespace {

class member_change_test : public ::testing::Test {
protected:
  static wire::member memberOf(const std::string &Name) {
    return makeMember(Name, incarnation{1791820800000001});
  }
  // Delivers Changes to Node from a member named "b".
  void receive(membership &Node, const std::vector<int64_t> &Changes) {
    wire::heartbeat Beat;
    Beat.__set_Sender(memberOf("b"));
    Beat.__set_Changes(Changes);
    effect_list Effects;
    Node.onMessage({node_name("b"), address("b:7100"), Beat}, Now, Effects);
  }

  steady_time Now{std::chrono::hours(1)};
  membership Node{{node_name("a"), zone_name("east"), address("a:7100"),
                   incarnation{1791820800000000}},
                  wire::member_role::Entry,
                  {}};
};

TEST_F(member_change_test, Change_OfAKnownMember_IsApplied) {
  receive(Node, {});
  wire::member Suspect = memberOf("b");
  Suspect.Refutation = 70;
  Suspect.State = wire::member_state::Suspect;
  receive(Node, {encodeChange(Suspect)});
  EXPECT_EQ(*Node.find(node_name("b")), Suspect);
}

TEST_F(member_change_test, Change_OfAnotherProcess_IsIgnored) {
  receive(Node, {});
  wire::member Earlier = memberOf("b");
  --Earlier.Incarnation;
  Earlier.State = wire::member_state::Dead;
  receive(Node, {encodeChange(Earlier)});
  EXPECT_EQ(*Node.find(node_name("b")), memberOf("b"));
}

TEST_F(member_change_test, Change_ToAnUnknownState_IsIgnored) {
  receive(Node, {});
  wire::member Odd = memberOf("b");
  Odd.Refutation = 3;
  Odd.State = static_cast<wire::member_state::type>(7);
  receive(Node, {encodeChange(Odd), -1, 0});
  EXPECT_EQ(*Node.find(node_name("b")), memberOf("b"));
}

TEST_F(member_change_test, Death_OfTheReceiver_IsRefuted) {
  wire::member Self = Node.self();
  Self.State = wire::member_state::Dead;
  receive(Node, {encodeChange(Self)});
  EXPECT_EQ(Node.self().Refutation, 1);
}

} // namespace
} // namespace monsoonreel
