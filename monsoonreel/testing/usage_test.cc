// Tests the delivery of a usage batch from an entry to the log.

#include <gtest/gtest.h>

#include "monsoonreel/stream_replica.h"
#include "monsoonreel/testing/fake_platform.h"
#include "monsoonreel/testing/records.h"
#include "monsoonreel/usage_appender.h"
#include "monsoonreel/usage_holder.h"
#include "monsoonreel/usage_meter.h"

namespace monsoonreel {
namespace {

using namespace monsoonreel::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

class usage_test : public ::testing::Test {
protected:
  static wire::member makeMember(const std::string &Name, int64_t Incarnation) {
    wire::member Member;
    Member.Name = Name;
    Member.Address = Name;
    Member.Incarnation = Incarnation;
    return Member;
  }
  static node_identity identity(const std::string &Name, int64_t Incarnation) {
    return {node_name(Name), zone_name("north"), address(Name),
            incarnation{Incarnation}};
  }
  template <typename T>
  static std::vector<T> messages(const effect_list &Effects) {
    std::vector<T> Found;
    for (const effect &Effect : Effects)
      if (const auto *Sent = std::get_if<send_message>(&Effect))
        if (const auto *Message = std::get_if<T>(&Sent->Message))
          Found.push_back(*Message);
    return Found;
  }
  template <typename T>
  static peer_message_received from(const std::string &Name, const T &Message) {
    return {node_name(Name), address(Name), wire::peer_message(Message)};
  }

  usage_test() { Meter.setPeers({makeMember("s1", 1)}, {makeMember("e2", 2)}); }

  void add(int64_t Tokens) {
    Meter.add(organisation_name("tiles"), class_name("quick"), {1, 0, Tokens});
  }
  effect_list tickMeter(duration Step) {
    Now += Step;
    effect_list Effects;
    Meter.onTick(Now, 0, Effects);
    return Effects;
  }
  bool accept(int64_t Sequence) {
    wire::usage_accepted Accepted;
    Accepted.Incarnation = 9;
    Accepted.Sequence = Sequence;
    return Meter.onMessage(from("s1", Accepted));
  }

  steady_time Now{seconds(1000)};
  usage_meter Meter{identity("e9", 9)};
  usage_holder Holder{incarnation{2}};
};

TEST_F(usage_test, Batch_NotAccepted_IsOfferedUnchangedAgain) {
  add(10);
  auto First = messages<wire::usage_offer>(tickMeter(cut_interval));
  ASSERT_EQ(First.size(), 1u);
  add(20);
  auto Second = messages<wire::usage_offer>(tickMeter(offer_timeout));
  ASSERT_EQ(Second.size(), 2u);
  EXPECT_EQ(Second[0].Batch, First[0].Batch);
  EXPECT_EQ(Second[1].Batch.Sequence, 2);
  accept(1);
  accept(2);
  EXPECT_TRUE(Meter.isLogged());
}

TEST_F(usage_test, Batch_HolderReplaced_IsHeldAgain) {
  add(10);
  effect_list Effects;
  for (const auto &Hold : messages<wire::usage_hold>(tickMeter(cut_interval)))
    Holder.onMessage(from("e9", Hold), Effects);
  for (const auto &Held : messages<wire::usage_held>(Effects))
    Meter.onMessage(from("e2", Held));
  EXPECT_TRUE(Meter.isDurable());
  Meter.setPeers({makeMember("s1", 1)}, {makeMember("e2", 7)});
  EXPECT_FALSE(Meter.isDurable());
  for (const auto &Held : messages<wire::usage_held>(Effects))
    Meter.onMessage(from("e2", Held));
  EXPECT_FALSE(Meter.isDurable());
}

TEST_F(usage_test, Holder_SourceDead_OffersUntilAccepted) {
  effect_list Effects;
  wire::usage_hold Hold;
  Hold.Batch = makeBatch(9, 1, 10);
  Holder.onMessage(from("e9", Hold), Effects);
  Holder.onTick(Now, 0, {makeMember("s1", 1)}, Effects);
  EXPECT_TRUE(messages<wire::usage_offer>(Effects).empty());
  Holder.onSourceDead(incarnation{9});
  Holder.onTick(Now, 0, {makeMember("s1", 1)}, Effects);
  Holder.onTick(Now + offer_timeout, 0, {makeMember("s1", 1)}, Effects);
  EXPECT_EQ(messages<wire::usage_offer>(Effects).size(), 2u);
  wire::usage_accepted Accepted;
  Accepted.Incarnation = 9;
  Accepted.Sequence = 1;
  EXPECT_TRUE(Holder.onMessage(from("s1", Accepted), Effects));
  EXPECT_TRUE(Holder.empty());
}

TEST_F(usage_test, Holder_Full_DoesNotAnswerAHold) {
  effect_list Effects;
  wire::usage_hold Hold;
  Hold.Batch = makeBatch(9, 1, 10);
  Hold.Batch.Increments.resize(max_held_increments + 1);
  Holder.onMessage(from("e9", Hold), Effects);
  EXPECT_TRUE(messages<wire::usage_held>(Effects).empty());
  EXPECT_TRUE(Holder.empty());
}

TEST_F(usage_test, Meter_LongOutage_KeepsWithinItsBound) {
  for (int Second = 0; Second < 200; ++Second) {
    for (int Pair = 0; Pair < 1000; ++Pair)
      Meter.add(organisation_name(std::to_string(Pair)), class_name("quick"),
                {1, 1, 1});
    tickMeter(cut_interval);
  }
  // The last batch may exceed the bound, which is checked before a batch is
  // cut.
  EXPECT_LE(Meter.openIncrements(), max_open_increments + 1000);
  // Nothing is dropped: the other increments wait in the bucket.
  EXPECT_FALSE(Meter.isDurable());
}

TEST_F(usage_test, Appender_OfferNotReadBack_IsNotAccepted) {
  call_counter Calls;
  stream_replica Usage(usage_stream, identity("s1", 1), Calls);
  usage_appender Appender;
  fake_platform Platform;
  effect_list Effects;
  wire::usage_offer Offer;
  Offer.Batch = makeBatch(9, 1, 10);
  Appender.onMessage(from("e9", Offer), Usage.state(), Effects);
  Appender.onTick(Now, Usage.writer());
  Usage.onTick(Now, 0, Effects);
  for (size_t Place = 0; Place < Effects.size(); ++Place)
    if (auto Answer = Platform.carryOut(Effects[Place]))
      Usage.onEvent({Now, {}, 0, *Answer}, Effects);
  EXPECT_TRUE(messages<wire::usage_accepted>(Effects).empty());
  Usage.applyRecord(log_offset{1},
                    Platform.records(std::string(usage_stream))[0], Now,
                    Effects);
  Appender.onUsageChanged(Usage.state(), Effects);
  EXPECT_EQ(messages<wire::usage_accepted>(Effects).size(), 1u);
}

} // namespace
} // namespace monsoonreel
