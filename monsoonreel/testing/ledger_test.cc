#include "monsoonreel/ledger.h"

#include <random>

#include <gtest/gtest.h>

#include "monsoonreel/invariant.h"
#include "monsoonreel/mechanism.h"
#include "monsoonreel/testing/records.h"

namespace monsoonreel {
namespace {

using namespace monsoonreel::testing;

class ledger_test : public ::testing::Test {
protected:
  // Replays Record as the next record of a writer, with a new sequence.
  ledger_change append(wire::log_record Record) {
    Record.Incarnation = 1;
    Record.Sequence = ++Sequence;
    return replay(Record);
  }
  // Replays Record with its own writer and sequence.
  ledger_change replay(const wire::log_record &Record) {
    return Ledger.apply(next(), encodeRecord(Record), Effects);
  }
  log_offset next() const { return log_offset{Ledger.applied().Value + 1}; }
  int64_t openTokens() const {
    int64_t Tokens = 0;
    for (const wire::usage_increment &Increment : Ledger.openUsage())
      Tokens += Increment.OutputTokens;
    return Tokens;
  }
  static key_hash hashOf(char Byte) { return key_hash(std::string(32, Byte)); }

  ledger Ledger{operator_stream};
  effect_list Effects;
  int64_t Sequence = 0;
};

TEST_F(ledger_test, Edit_OfAReplacedVersion_IsVoid) {
  ASSERT_TRUE(append(editConfig(0, 100)).isValid());
  EXPECT_FALSE(append(editConfig(0, 200)).isValid());
  EXPECT_EQ(Ledger.configOffset(), log_offset{1});
  EXPECT_TRUE(append(editConfig(1, 300)).isValid());
  EXPECT_EQ(Ledger.configOffset(), log_offset{3});
  EXPECT_EQ(Ledger.document(), makeDocument(300));
}

TEST_F(ledger_test, Edit_WithoutVersionCheck_OverwritesTheOther) {
  disabled_mechanism Without(mechanism::VersionCheck);
  append(editConfig(0, 100));
  append(editConfig(0, 200));
  EXPECT_EQ(Ledger.document(), makeDocument(200));
}

TEST_F(ledger_test, Edit_InvalidDocument_IsVoidWithReason) {
  wire::log_record Record = editConfig(0, 100);
  Record.ConfigEdit.Document = "classes: [{tier: 99}]";
  ledger_change Change = append(Record);
  EXPECT_EQ(Change.Verdict, record_verdict::Void);
  EXPECT_NE(Change.Reason.find("tier"), std::string::npos);
  EXPECT_EQ(Ledger.configOffset(), log_offset{0});
}

TEST_F(ledger_test, Key_Withdrawn_NeverComesBack) {
  append(giveKey("k1", 'a'));
  ASSERT_NE(Ledger.findKey(hashOf('a')), nullptr);
  ledger_change Change = append(withdrawKey("k1"));
  EXPECT_EQ(Change.WithdrawnKeys, std::vector{hashOf('a')});
  EXPECT_FALSE(append(giveKey("k1", 'a')).isValid());
  EXPECT_FALSE(append(giveKey("k1", 'b')).isValid());
  EXPECT_FALSE(append(giveKey("k2", 'a')).isValid());
  append(editConfig(0, 100));
  EXPECT_EQ(Ledger.findKey(hashOf('a')), nullptr);
}

TEST_F(ledger_test, Key_WithdrawnBeforeItsGiving_IsNeverGiven) {
  EXPECT_TRUE(append(withdrawKey("k1")).isValid());
  EXPECT_FALSE(append(giveKey("k1", 'a')).isValid());
  EXPECT_EQ(Ledger.findKey(hashOf('a')), nullptr);
}

TEST_F(ledger_test, Lookup_HashThatDiffersInTheLastByte_FindsNothing) {
  append(giveKey("k1", 'a'));
  std::string Near(32, 'a');
  Near.back() = 'b';
  EXPECT_EQ(Ledger.findKey(key_hash(Near)), nullptr);
  EXPECT_EQ(Ledger.findKey(key_hash("short")), nullptr);
}

TEST_F(ledger_test, Claim_TwoOfTheSamePredecessor_FirstOneWins) {
  EXPECT_TRUE(append(claimLease("usage", 0, 7)).isValid());
  EXPECT_FALSE(append(claimLease("usage", 0, 8)).isValid());
  EXPECT_EQ(Ledger.findLease("usage")->Incarnation, 7);
  EXPECT_TRUE(append(claimLease("usage", 1, 8)).isValid());
  EXPECT_EQ(Ledger.findLease("usage")->Fence, 3);
}

TEST_F(ledger_test, Close_UnderAnOldClaim_IsVoid) {
  append(claimLease("usage", 0, 7));
  append(claimLease("usage", 1, 8));
  append(appendUsage(makeBatch(5, 1, 10)));
  EXPECT_FALSE(append(closeWindow(1, 1)).isValid());
  EXPECT_TRUE(append(closeWindow(1, 2)).isValid());
}

TEST_F(ledger_test, Close_OldClaimWithoutFencing_IsTaken) {
  disabled_mechanism Without(mechanism::Fencing);
  append(claimLease("usage", 0, 7));
  append(claimLease("usage", 1, 8));
  append(appendUsage(makeBatch(5, 1, 10)));
  EXPECT_TRUE(append(closeWindow(1, 1)).isValid());
}

TEST_F(ledger_test, Close_Twice_FirstFigureStays) {
  append(claimLease("usage", 0, 7));
  append(appendUsage(makeBatch(5, 1, 10)));
  EXPECT_EQ(append(closeWindow(1, 1)).ClosedWindow, 1);
  append(appendUsage(makeBatch(5, 2, 7)));
  EXPECT_FALSE(append(closeWindow(1, 1)).isValid());
  ASSERT_EQ(Ledger.unreportedWindows().size(), 1u);
  EXPECT_EQ(Ledger.unreportedWindows()[0].Figures[0].OutputTokens, 10);
  EXPECT_EQ(openTokens(), 7);
}

TEST_F(ledger_test, Batch_AppendedByTwoStewards_CountsOnce) {
  append(appendUsage(makeBatch(5, 1, 10)));
  append(appendUsage(makeBatch(5, 1, 10)));
  EXPECT_EQ(openTokens(), 10);
}

TEST_F(ledger_test, Batch_TwiceWithoutItsSequence_CountsTwice) {
  disabled_mechanism Without(mechanism::UsageSequence);
  append(appendUsage(makeBatch(5, 1, 10)));
  append(appendUsage(makeBatch(5, 1, 10)));
  EXPECT_EQ(openTokens(), 20);
}

TEST_F(ledger_test, Batches_OutOfOrder_EachCountsOnce) {
  for (int64_t Number : {3, 1, 3, 5, 2, 1, 4, 5})
    append(appendUsage(makeBatch(5, Number, 10)));
  EXPECT_EQ(openTokens(), 50);
  EXPECT_EQ(Ledger.nextUsageSequence(incarnation{5}), 6);
}

TEST_F(ledger_test, Batch_TooFarAhead_WaitsForTheMissingOnes) {
  int64_t Far = max_batches_ahead + 2;
  EXPECT_FALSE(append(appendUsage(makeBatch(5, Far, 10))).isValid());
  EXPECT_TRUE(append(appendUsage(makeBatch(5, Far - 1, 10))).isValid());
  append(appendUsage(makeBatch(5, 1, 10)));
  EXPECT_TRUE(append(appendUsage(makeBatch(5, Far, 10))).isValid());
  EXPECT_EQ(openTokens(), 30);
}

TEST_F(ledger_test, Batch_NegativeFigure_IsVoid) {
  EXPECT_FALSE(append(appendUsage(makeBatch(5, 1, -1))).isValid());
  EXPECT_TRUE(Ledger.openUsage().empty());
}

TEST_F(ledger_test, Report_OfALaterWindow_IsVoid) {
  append(claimLease("usage", 0, 7));
  for (int Window : {1, 2}) {
    append(appendUsage(makeBatch(5, Window, 10)));
    append(closeWindow(Window, 1));
  }
  EXPECT_FALSE(append(windowReported(2)).isValid());
  EXPECT_TRUE(append(windowReported(1)).isValid());
  EXPECT_EQ(Ledger.unreportedWindows().front().Window, 2);
}

TEST_F(ledger_test, Intent_UnderAnOldClaim_IsVoid) {
  append(claimLease("orders/north", 0, 7));
  append(claimLease("orders/north", 1, 8));
  EXPECT_FALSE(append(intendOrder("o1", 1)).isValid());
  EXPECT_TRUE(append(intendOrder("o1", 2)).isValid());
  EXPECT_TRUE(Ledger.openOrders().contains("o1"));
}

// A copy of an intent record that arrives after its order is done must not open
// the order again.
TEST_F(ledger_test, LateCopy_OfAnIntent_DoesNotOpenTheOrderAgain) {
  append(claimLease("orders/north", 0, 7));
  wire::log_record Intent = intendOrder("o1", 1);
  Intent.Incarnation = 7;
  Intent.Sequence = 1;
  replay(Intent);
  wire::log_record Done = finishOrder("o1");
  Done.Incarnation = 7;
  Done.Sequence = 2;
  replay(Done);
  EXPECT_EQ(replay(Intent).Verdict, record_verdict::Repeated);
  EXPECT_TRUE(Ledger.openOrders().empty());
  disabled_mechanism Without(mechanism::WriterSequence);
  replay(Intent);
  EXPECT_FALSE(Ledger.openOrders().empty());
}

TEST_F(ledger_test, Record_AfterAGap_IsNotApplied) {
  std::string Bytes = encodeRecord(editConfig(0, 100));
  EXPECT_EQ(Ledger.apply(log_offset{2}, Bytes, Effects).Verdict,
            record_verdict::Gap);
  EXPECT_EQ(Ledger.applied(), log_offset{0});
}

TEST_F(ledger_test, Bytes_Hostile_AreVoidAndCounted) {
  std::mt19937 Random(4);
  std::string Good = encodeRecord(claimLease("usage", 0, 7));
  for (int Round = 0; Round < 3000; ++Round) {
    std::string Bytes = Good.substr(0, Random() % (Good.size() + 1));
    for (char &Byte : Bytes)
      if (Random() % 8 == 0)
        Byte = static_cast<char>(Random());
    Ledger.apply(next(), Bytes, Effects);
  }
  EXPECT_EQ(Ledger.applied(), log_offset{3000});
}

TEST_F(ledger_test, Restore_OlderSnapshot_IsRefused) {
  append(editConfig(0, 100));
  wire::ledger_state Old = Ledger.state();
  append(editConfig(1, 200));
  EXPECT_FALSE(Ledger.restore(log_offset{1}, Old, Effects));
  EXPECT_EQ(Ledger.document(), makeDocument(200));
}

TEST_F(ledger_test, Restore_OlderSnapshotUnchecked_BreaksTheInvariant) {
  append(editConfig(0, 100));
  wire::ledger_state Old = Ledger.state();
  append(editConfig(1, 200));
  disabled_mechanism Without(mechanism::OffsetOnlyGrows);
  EXPECT_DEATH(Ledger.restore(log_offset{1}, Old, Effects),
               "ledger-offset-only-grows");
}

// Replays random records, many of which are void. A ledger that restores a
// snapshot taken at any offset and replays the later records must reach the
// same state.
class ledger_random_test : public ledger_test,
                           public ::testing::WithParamInterface<unsigned> {
protected:
  wire::log_record makeRandom(std::mt19937 &Random) {
    auto Small = [&](int Bound) { return static_cast<int>(Random() % Bound); };
    int64_t Fence = Ledger.applied().Value - Small(6);
    std::string Id = "id" + std::to_string(Small(8));
    switch (Small(9)) {
    case 0:
      return editConfig(Ledger.configOffset().Value, 1 + Small(900));
    case 1:
      return giveKey(Id, static_cast<char>('a' + Small(8)));
    case 2:
      return withdrawKey(Id);
    case 3:
      return claimLease(Small(2) ? "usage" : "orders/north", Fence, Small(3));
    case 4:
      return closeWindow(Ledger.lastClosedWindow() + 1, Fence);
    case 5:
      return windowReported(Ledger.lastClosedWindow() - Small(2));
    case 6:
      return intendOrder(Id, Fence);
    case 7:
      return finishOrder(Id);
    default:
      return appendUsage(makeBatch(Small(4), 1 + Small(40), Small(100)));
    }
  }
};

TEST_P(ledger_random_test, SnapshotAndTail_AnyCut_EqualsTheReplay) {
  std::mt19937 Random(GetParam());
  std::vector<std::string> Log;
  std::vector<wire::ledger_state> States{Ledger.state()};
  for (int Count = 0; Count < 200; ++Count) {
    wire::log_record Record = makeRandom(Random);
    Record.Incarnation = static_cast<int64_t>(Random() % 3);
    Record.Sequence = 1 + Count / 2;
    Log.push_back(encodeRecord(Record));
    Ledger.apply(next(), Log.back(), Effects);
    States.push_back(Ledger.state());
  }
  for (size_t Cut = 1; Cut < States.size(); Cut += 7) {
    ledger Other(operator_stream);
    auto Decoded = decodeLedgerState(encodeState(States[Cut]));
    ASSERT_TRUE(Other.restore(log_offset{static_cast<int64_t>(Cut)}, *Decoded,
                              Effects));
    for (size_t Place = Cut; Place < Log.size(); ++Place)
      Other.apply(log_offset{static_cast<int64_t>(Place) + 1}, Log[Place],
                  Effects);
    ASSERT_EQ(Other.state(), Ledger.state()) << "cut at " << Cut;
  }
}

INSTANTIATE_TEST_SUITE_P(seeds, ledger_random_test, ::testing::Range(1u, 9u));

} // namespace
} // namespace monsoonreel
