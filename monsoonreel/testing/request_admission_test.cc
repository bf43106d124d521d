// The organisation and the class that a request runs with. Only its key may
// determine the organisation.

#include "monsoonreel/request_admission.h"

#include <gtest/gtest.h>

#include "monsoonreel/ledger.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {
namespace {

const char document[] = R"(
classes:
  - {name: chat, tier: 0, first_token: 350ms}
  - {name: order, tier: 1, first_token: 1s}
organisations:
  - {name: tiles, classes: [chat]}
  - {name: baths}
upstreams:
  - {name: m1, pool: planner, zone: north, address: "127.0.0.1:1"}
  - {name: s1, kind: service, pool: desk, zone: north, address: "127.0.0.1:2"}
routes:
  - {path: /v1, class: chat, idempotent: true}
  - {path: /open, pool: desk, class: chat, idempotent: true, open: true}
  - {path: /orders, pool: desk, class: order}
)";

class request_admission_test : public ::testing::Test {
protected:
  void SetUp() override {
    wire::config_edit Edit;
    Edit.Document = document;
    wire::log_record Record;
    Record.__set_ConfigEdit(Edit);
    append(Record);
    giveKey("tiles", 't');
    giveKey("baths", 'b');
    Freshness.onLogRead(Ledger.applied(), Now);
  }

  void append(wire::log_record Record) {
    Record.Incarnation = 1;
    Record.Sequence = Ledger.applied().Value + 1;
    effect_list Effects;
    ASSERT_TRUE(
        Ledger.apply(log_offset{Record.Sequence}, encodeRecord(Record), Effects)
            .isValid());
  }

  void giveKey(const std::string &Organisation, char HashByte) {
    wire::key_give Give;
    Give.KeyId = Organisation + "-key";
    Give.Organisation = Organisation;
    Give.KeyHash = std::string(32, HashByte);
    wire::log_record Record;
    Record.__set_KeyGive(Give);
    append(Record);
  }

  void withdrawKey(const std::string &Organisation) {
    wire::key_withdraw Withdraw;
    Withdraw.KeyId = Organisation + "-key";
    wire::log_record Record;
    Record.__set_KeyWithdraw(Withdraw);
    append(Record);
  }

  static request_arrived request(const std::string &Path,
                                 std::optional<char> HashByte) {
    request_arrived Arrived;
    Arrived.Path = Path;
    Arrived.Model = "planner";
    if (HashByte)
      Arrived.Key = key_hash(std::string(32, *HashByte));
    return Arrived;
  }

  // The organisation that Arrived runs for, or the refusal's code.
  std::string outcomeOf(const request_arrived &Arrived) const {
    admission_result Result = admitRequest(Arrived, Ledger, Freshness, Now);
    if (const auto *Refusal = std::get_if<refuse_request>(&Result)) {
      EXPECT_EQ(Refusal->Outcome, execution_outcome::NotRun);
      return Refusal->Code;
    }
    return std::get<admitted_request>(Result).Organisation.Value;
  }

  ledger Ledger{operator_stream};
  log_freshness Freshness;
  steady_time Now{std::chrono::hours(1)};
};

TEST_F(request_admission_test, Key_OfEachOrganisation_DeterminesIt) {
  EXPECT_EQ(outcomeOf(request("/v1", 't')), "tiles");
  EXPECT_EQ(outcomeOf(request("/v1", 'b')), "baths");
  EXPECT_EQ(outcomeOf(request("/open", 'b')), "baths");
}

TEST_F(request_admission_test, Key_UnknownOrMissing_IsRefused) {
  EXPECT_EQ(outcomeOf(request("/v1", 'x')), "key-unknown");
  EXPECT_EQ(outcomeOf(request("/v1", std::nullopt)), "key-missing");
}

TEST_F(request_admission_test, Key_Withdrawn_IsRefusedAndOthersWork) {
  withdrawKey("tiles");
  EXPECT_EQ(outcomeOf(request("/v1", 't')), "key-unknown");
  EXPECT_EQ(outcomeOf(request("/v1", 'b')), "baths");
}

TEST_F(request_admission_test, OpenRoute_WithoutValidKey_HasNoOrganisation) {
  EXPECT_EQ(outcomeOf(request("/open", std::nullopt)), "");
  EXPECT_EQ(outcomeOf(request("/open", 'x')), "");
}

TEST_F(request_admission_test, Class_NotInTheContract_IsRefused) {
  EXPECT_EQ(outcomeOf(request("/orders", 't')), "class-not-contracted");
  EXPECT_EQ(outcomeOf(request("/orders", 'b')), "baths");
  request_arrived Open = request("/open", std::nullopt);
  Open.Class = class_name("order");
  EXPECT_EQ(outcomeOf(Open), "class-not-contracted");
}

TEST_F(request_admission_test, Keys_EntryDisconnected_OrdersAreRefusedFirst) {
  Now += std::chrono::minutes(6);
  EXPECT_EQ(outcomeOf(request("/orders", 'b')), "keys-stale");
  EXPECT_EQ(outcomeOf(request("/v1", 'b')), "baths");
  Now += std::chrono::hours(12);
  EXPECT_EQ(outcomeOf(request("/v1", 'b')), "keys-stale");
}

} // namespace
} // namespace monsoonreel
