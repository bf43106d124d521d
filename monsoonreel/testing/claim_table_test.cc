#include "monsoonreel/claim_table.h"

#include <gtest/gtest.h>

#include "monsoonreel/idempotency_key.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr duration start_time = hours(24 * 365 * 55);

class claim_table_test : public ::testing::Test {
protected:
  static wire::claim_key keyOf(const std::string &Text,
                               const std::string &Organisation = "org") {
    return parseIdempotencyKey(organisation_name(Organisation), Text,
                               wall_time(start_time))
        ->Claim;
  }
  static wire::attempt_id attempt(int64_t Incarnation, int64_t Sequence = 1) {
    wire::attempt_id Attempt;
    Attempt.Incarnation = Incarnation;
    Attempt.Sequence = Sequence;
    return Attempt;
  }
  static wire::claim_entry claimOf(const wire::claim_key &Key,
                                   const wire::attempt_id &Attempt,
                                   duration MadeAt = {}) {
    wire::claim_entry Entry;
    Entry.Key = Key;
    Entry.Attempt = Attempt;
    Entry.BodyHash = 0x7fffffff12345678;
    Entry.KeyMicros = toMicros(MadeAt);
    return Entry;
  }
  static wire::claim_outcome outcomeOf(const wire::claim_key &Key,
                                       const wire::attempt_id &Attempt,
                                       wire::run_outcome::type Kind) {
    wire::claim_outcome Outcome;
    Outcome.Key = Key;
    Outcome.Attempt = Attempt;
    Outcome.Outcome = Kind;
    return Outcome;
  }
  void apply(wire::claim_batch Batch, int64_t Writer = 1) {
    wire::log_record Record;
    Record.Incarnation = Writer;
    Record.Sequence = ++Sequence;
    Batch.WallMicros = toMicros(Wall);
    Batch.WindowMicros = toMicros(Window);
    for (wire::claim_entry &Entry : Batch.Claims)
      Entry.CreatedWallMicros = Batch.WallMicros;
    Record.__set_ClaimBatch(Batch);
    Table.apply(log_offset{++Offset}, Record, Effects);
  }
  void claim(const wire::claim_entry &Entry, int64_t Writer = 1) {
    wire::claim_batch Batch;
    Batch.Claims = {Entry};
    apply(std::move(Batch), Writer);
  }
  void settle(const wire::claim_outcome &Outcome) {
    wire::claim_batch Batch;
    Batch.Outcomes = {Outcome};
    apply(std::move(Batch));
  }
  // Advances the wall clock by Time; both writers then append, so that the
  // table's time follows.
  void advanceTime(duration Time) {
    Wall += Time;
    apply({}, 1);
    apply({}, 2);
  }
  bool isHeldBy(const wire::claim_key &Key, const wire::attempt_id &Attempt) {
    const class claim *Claim = Table.find(Key);
    return Claim && Claim->Held && Claim->Holder == Attempt;
  }
  // Fills the table with claims of UUIDv7 keys. Claims of one batch have the
  // same time, and the time advances by one second per claim.
  void fillTable() {
    constexpr size_t PerBatch = 512;
    for (size_t Index = 0; Index < max_claims;) {
      wire::claim_batch Batch;
      for (size_t Place = 0; Place < PerBatch; ++Place, ++Index)
        Batch.Claims.push_back(claimOf(
            keyOf(std::to_string(Index),
                  Index % 2 ? "organisation-1" : "organisation-2"),
            attempt(1764800000000000, static_cast<int64_t>(Index)), Wall));
      Wall += std::chrono::seconds(PerBatch);
      apply(std::move(Batch), static_cast<int64_t>(Index / PerBatch % 2));
    }
  }

  claim_table Table;
  effect_list Effects;
  duration Wall = start_time;
  duration Window = hours(24);
  int64_t Sequence = 0;
  int64_t Offset = 0;
  wire::claim_key Key = keyOf("k");
};

TEST_F(claim_table_test, TwoClaims_OfOneKey_FirstInOrderHolds) {
  claim(claimOf(Key, attempt(1)));
  claim(claimOf(Key, attempt(2)), 2);
  EXPECT_TRUE(isHeldBy(Key, attempt(1)));
}

TEST_F(claim_table_test, NotRun_OfTheHolder_FreesTheKeyForTheNext) {
  claim(claimOf(Key, attempt(1)));
  settle(outcomeOf(Key, attempt(2), wire::run_outcome::NotRun));
  EXPECT_TRUE(isHeldBy(Key, attempt(1)));
  settle(outcomeOf(Key, attempt(1), wire::run_outcome::NotRun));
  claim(claimOf(Key, attempt(3)));
  EXPECT_TRUE(isHeldBy(Key, attempt(3)));
}

TEST_F(claim_table_test, Run_OfTheHolder_StaysForGood) {
  claim(claimOf(Key, attempt(1)));
  settle(outcomeOf(Key, attempt(1), wire::run_outcome::Run));
  settle(outcomeOf(Key, attempt(1), wire::run_outcome::NotRun));
  claim(claimOf(Key, attempt(2)));
  EXPECT_TRUE(isHeldBy(Key, attempt(1)));
  EXPECT_EQ(Table.find(Key)->Outcome, wire::run_outcome::Run);
}

// The entry asked two coordinators, and the slower one appends the claim only
// after the outcome.
TEST_F(claim_table_test, LateClaim_OfAReleasedAttempt_IsVoid) {
  settle(outcomeOf(Key, attempt(1), wire::run_outcome::NotRun));
  claim(claimOf(Key, attempt(1)));
  EXPECT_FALSE(isHeldBy(Key, attempt(1)));
  claim(claimOf(Key, attempt(2)));
  EXPECT_TRUE(isHeldBy(Key, attempt(2)));
}

TEST_F(claim_table_test, LateClaim_WithoutReleaseVoids_BlocksTheKey) {
  disabled_mechanism Disabled(mechanism::ClaimReleaseVoids);
  settle(outcomeOf(Key, attempt(1), wire::run_outcome::NotRun));
  claim(claimOf(Key, attempt(1)));
  EXPECT_TRUE(isHeldBy(Key, attempt(1)));
}

TEST_F(claim_table_test, TimedKey_ForgottenAfterTheWindow_CantBeClaimedAgain) {
  claim(claimOf(Key, attempt(1), Wall));
  advanceTime(hours(25));
  EXPECT_EQ(Table.find(Key), nullptr);
  claim(claimOf(Key, attempt(2), start_time));
  EXPECT_FALSE(isHeldBy(Key, attempt(2)));
  EXPECT_TRUE(Table.isExpired(toMicros(start_time)));
}

TEST_F(claim_table_test, TimedKey_WithoutHorizon_IsClaimedASecondTime) {
  claim(claimOf(Key, attempt(1), Wall));
  advanceTime(hours(25));
  disabled_mechanism Disabled(mechanism::ClaimHorizon);
  claim(claimOf(Key, attempt(2), start_time));
  EXPECT_TRUE(isHeldBy(Key, attempt(2)));
}

TEST_F(claim_table_test, OpaqueKey_IsHeldForTheWholeWindow) {
  claim(claimOf(Key, attempt(1)));
  advanceTime(hours(23));
  EXPECT_TRUE(isHeldBy(Key, attempt(1)));
  advanceTime(hours(2));
  EXPECT_EQ(Table.find(Key), nullptr);
}

TEST_F(claim_table_test, OneWrongClock_ExpiresNothing) {
  claim(claimOf(Key, attempt(1)));
  Wall += hours(1000);
  apply({}, 1);
  apply({}, 1);
  EXPECT_TRUE(isHeldBy(Key, attempt(1)));
  EXPECT_FALSE(Table.isExpired(toMicros(start_time)));
}

TEST_F(claim_table_test, OneWrongClock_WithoutVouching_ForgetsClaims) {
  disabled_mechanism Disabled(mechanism::ClaimTimeVouched);
  claim(claimOf(Key, attempt(1)));
  Wall += hours(1000);
  apply({}, 1);
  EXPECT_EQ(Table.find(Key), nullptr);
}

TEST_F(claim_table_test, FullTable_OfTimedKeys_ExpiresTheOldestFirst) {
  fillTable();
  EXPECT_EQ(Table.size(), max_claims);
  EXPECT_FALSE(Table.isExpired(toMicros(Wall - hours(1))));
  claim(claimOf(Key, attempt(1), Wall));
  EXPECT_TRUE(isHeldBy(Key, attempt(1)));
  EXPECT_LE(Table.size(), max_claims);
  EXPECT_TRUE(Table.isExpired(toMicros(start_time)));
  // Keys younger than min_claim_window do not expire when the table is full.
  EXPECT_FALSE(Table.isExpired(toMicros(Wall - minutes(9))));
}

TEST_F(claim_table_test, FullTable_Snapshot_FitsIntoOneRecord) {
  fillTable();
  wire::log_record Record;
  Record.Snapshot.State = encodeState(Table.state());
  Record.__isset.Snapshot = true;
  std::string Bytes = encodeRecord(Record);
  RecordProperty("bytes", static_cast<int>(Bytes.size()));
  EXPECT_LT(Bytes.size(), max_frame_bytes - 1024);
}

TEST_F(claim_table_test, OneOrganisation_CantFillTheTable) {
  for (size_t Index = 0; Index < max_claims_per_organisation + 5; ++Index) {
    wire::claim_batch Batch;
    Batch.Claims = {claimOf(keyOf(std::to_string(Index)), attempt(1))};
    apply(std::move(Batch));
  }
  EXPECT_EQ(Table.size(), max_claims_per_organisation);
  wire::claim_key Other = keyOf("k", "small-org");
  claim(claimOf(Other, attempt(2)));
  EXPECT_TRUE(isHeldBy(Other, attempt(2)));
}

TEST_F(claim_table_test, RestoredTable_GoesOnLikeTheOriginal) {
  wire::claim_outcome Outcome =
      outcomeOf(keyOf("ran"), attempt(1), wire::run_outcome::Run);
  Outcome.Answer.Body = "booked";
  Outcome.__isset.Answer = true;
  claim(claimOf(keyOf("ran"), attempt(1)));
  settle(Outcome);
  claim(claimOf(keyOf("open"), attempt(2), Wall));
  settle(outcomeOf(keyOf("free"), attempt(3), wire::run_outcome::NotRun));
  advanceTime(hours(1));
  claim_table Copy;
  ASSERT_TRUE(Copy.restore(Table.applied(), Table.state(), Effects));
  EXPECT_EQ(encodeState(Copy.state()), encodeState(Table.state()));
  EXPECT_EQ(Copy.findAnswer(keyOf("ran"))->Body, "booked");
  EXPECT_TRUE(Copy.isReleased(keyOf("free"), attempt(3)));
  // An older snapshot never replaces a newer state.
  EXPECT_FALSE(Copy.restore(log_offset{1}, wire::claims_state(), Effects));
}

TEST_F(claim_table_test,
       SnapshotAnswer_WithoutOutcome_IsDroppedForNewerAnswers) {
  wire::recorded_answer Large;
  Large.Body = std::string(max_answer_bytes / 4, 'x');
  claim(claimOf(Key, attempt(1)));
  wire::claims_state State = Table.state();
  State.Claims[0].__set_Answer(Large);
  ASSERT_TRUE(Table.restore(log_offset{++Offset}, State, Effects));
  for (const char *Name : {"", "b", "c", "d", "e"}) {
    wire::claim_key Next = *Name == 0 ? Key : keyOf(Name);
    claim(claimOf(Next, attempt(1)));
    wire::claim_outcome Outcome =
        outcomeOf(Next, attempt(1), wire::run_outcome::Run);
    Outcome.__set_Answer(Large);
    settle(Outcome);
    EXPECT_NE(Table.findAnswer(Next), nullptr) << Name;
  }
  // Three answers fit, and the newest are kept.
  EXPECT_EQ(Table.findAnswer(Key), nullptr);
  EXPECT_NE(Table.findAnswer(keyOf("c")), nullptr);
}

TEST_F(claim_table_test, HostileRecords_ChangeNothing) {
  wire::claim_key Short;
  Short.KeyHash = "short";
  claim(claimOf(Short, attempt(1)));
  settle(outcomeOf(Short, attempt(1), wire::run_outcome::NotRun));
  EXPECT_EQ(Table.size(), 0U);
  wire::claims_state State;
  State.Claims.resize(1);
  State.Claims[0].Organisation = 7;
  EXPECT_FALSE(Table.restore(log_offset{100}, State, Effects));
}

TEST_F(claim_table_test, IdempotencyKey_OfTwoOrganisations_DiffersInHash) {
  EXPECT_NE(keyOf("k", "a").KeyHash, keyOf("k", "b").KeyHash);
  EXPECT_NE(keyOf("bc", "a").KeyHash, keyOf("c", "ab").KeyHash);
  EXPECT_EQ(keyOf("k").KeyHash.size(), claim_hash_bytes);
}

TEST_F(claim_table_test, IdempotencyKey_TimeIsTakenFromUuid7Only) {
  organisation_name Org("org");
  wall_time Now(std::chrono::milliseconds(0x018bcfe56800));
  auto MadeAt = [&](const char *Text) {
    return parseIdempotencyKey(Org, Text, Now)->MadeAt;
  };
  EXPECT_EQ(MadeAt("018bcfe5-6800-7abc-8def-0123456789ab"), Now);
  EXPECT_FALSE(MadeAt("018bcfe5-6800-4abc-8def-0123456789ab"));
  EXPECT_FALSE(MadeAt("018bcfe5-6800-7abc-0def-0123456789ab"));
  EXPECT_FALSE(MadeAt("018bcfe5-6800-7abc-8def-0123456789a"));
  // A clock that is far ahead says nothing.
  EXPECT_FALSE(MadeAt("028bcfe5-6800-7abc-8def-0123456789ab"));
  EXPECT_FALSE(parseIdempotencyKey(Org, "", Now));
  EXPECT_FALSE(parseIdempotencyKey(Org, "two words", Now));
  EXPECT_FALSE(parseIdempotencyKey(Org, std::string(256, 'k'), Now));
}

} // namespace
} // namespace monsoonreel
