// Tests of a single entry. It owns every queue, so requests are dispatched
// immediately.

#include "monsoonreel/node_builder.h"

#include <optional>

#include <gtest/gtest.h>

#include "monsoonreel/mechanism.h"

namespace monsoonreel {
namespace {

constexpr const char *document = R"(
classes:
  - {name: chat, tier: 0, first_token: 500ms, between_tokens: 61ms}
  - {name: booking, tier: 1, first_token: 2s}
organisations: [{name: small}]
routes:
  - {path: /v1/chat/completions, class: chat, idempotent: true, open: true}
  - {path: /orders, pool: desk, class: booking, open: true}
upstreams:
  - {name: m1, pool: model, zone: north, address: "10.0.0.1:80"}
  - {name: m2, pool: model, zone: north, address: "10.0.0.2:80"}
  - {name: s1, kind: service, pool: desk, zone: north, address: "10.0.0.3:80"}
  - {name: s2, kind: service, pool: desk, zone: north, address: "10.0.0.4:80"}
)";

class entry_node_test : public ::testing::Test {
protected:
  void SetUp() override {
    node_identity Self{node_name("entry-1"), zone_name("north"),
                       address("10.0.1.1:7100"), incarnation{1}};
    Node = entry_node_builder(Self).build();
    wire::config_edit Edit;
    Edit.Document = document;
    wire::log_record Record;
    Record.__set_ConfigEdit(Edit);
    pushRecord(std::move(Record));
    send(tick{});
  }

  // Delivers the next record of the operator stream from a steward.
  void pushRecord(wire::log_record Record) {
    Record.Incarnation = 9;
    Record.Sequence = ++LastOffset;
    wire::stored_record Stored;
    Stored.Offset = LastOffset;
    Stored.Bytes = encodeRecord(Record);
    wire::state_push Push;
    Push.Stream = "operator";
    Push.Records = {Stored};
    Push.HighestOffset = LastOffset;
    send(peer_message_received{node_name("steward-1"), address("10.0.1.1:7101"),
                               Push});
  }

  void giveKey(const key_hash &Hash) {
    wire::key_give Give;
    Give.KeyId = "key";
    Give.Organisation = "small";
    Give.KeyHash = Hash.Value;
    wire::log_record Record;
    Record.__set_KeyGive(Give);
    pushRecord(std::move(Record));
  }

  void withdrawKey() {
    wire::key_withdraw Withdraw;
    Withdraw.KeyId = "key";
    wire::log_record Record;
    Record.__set_KeyWithdraw(Withdraw);
    pushRecord(std::move(Record));
  }

  // Starts a streamed request with a key, then withdraws the key.
  dispatch_attempt streamAndWithdraw() {
    // No peer reports the age of its log knowledge here, so keys would expire.
    disabled_mechanism TrustsKeys(mechanism::KeyTrustExpires);
    key_hash Hash(std::string(32, 'k'));
    giveKey(Hash);
    request_arrived Arrived = chat(1);
    Arrived.Key = Hash;
    dispatch_attempt First = dispatched(std::move(Arrived));
    send(attempt_headers{First.Attempt, 200, "text/event-stream", false, {}});
    withdrawKey();
    return First;
  }

  void send(event_body Body) {
    Effects.clear();
    Node->handle({Now, wall_time(), 7, std::move(Body)}, Effects);
  }

  void pass(duration Time) {
    Now += Time;
    send(tick{});
  }

  template <typename T> std::optional<T> find() const {
    for (const effect &Effect : Effects)
      if (const T *Found = std::get_if<T>(&Effect))
        return *Found;
    return std::nullopt;
  }

  static request_arrived chat(int64_t Id) {
    request_arrived Arrived;
    Arrived.Request = request_id{Id};
    Arrived.Path = "/v1/chat/completions";
    Arrived.Model = "model";
    Arrived.Stream = true;
    Arrived.Timeout = std::chrono::seconds(20);
    return Arrived;
  }

  static request_arrived order(int64_t Id) {
    request_arrived Arrived;
    Arrived.Request = request_id{Id};
    Arrived.Path = "/orders";
    Arrived.Timeout = std::chrono::seconds(20);
    return Arrived;
  }

  dispatch_attempt dispatched(request_arrived Arrived) {
    send(std::move(Arrived));
    auto Dispatch = find<dispatch_attempt>();
    EXPECT_TRUE(Dispatch);
    return Dispatch.value_or(dispatch_attempt());
  }

  std::unique_ptr<node> Node;
  steady_time Now{std::chrono::hours(1)};
  effect_list Effects;
  int64_t LastOffset = 0;
};

TEST_F(entry_node_test, Order_ConnectionRefused_RunsAtAnotherUpstream) {
  dispatch_attempt First = dispatched(order(1));
  send(attempt_failed{First.Attempt, attempt_failure::NeverSent, "refused"});
  auto Second = find<dispatch_attempt>();
  ASSERT_TRUE(Second);
  EXPECT_NE(Second->Upstream, First.Upstream);
}

TEST_F(entry_node_test, Order_UpstreamSaysNotRun_RunsAtAnotherUpstream) {
  dispatch_attempt First = dispatched(order(1));
  attempt_headers Headers{First.Attempt, 503, "", true, duration::zero()};
  send(Headers);
  EXPECT_TRUE(find<dispatch_attempt>());
}

TEST_F(entry_node_test, Order_ConnectionBroken_IsRefusedAsUnknown) {
  dispatch_attempt First = dispatched(order(1));
  send(attempt_failed{First.Attempt, attempt_failure::Broken, "reset"});
  EXPECT_FALSE(find<dispatch_attempt>());
  auto Refusal = find<refuse_request>();
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->Outcome, execution_outcome::Unknown);
}

TEST_F(entry_node_test, Order_DeadlineWhileRunning_IsCancelledAsUnknown) {
  dispatched(order(1));
  pass(std::chrono::seconds(21));
  EXPECT_TRUE(find<cancel_attempt>());
  auto Refusal = find<refuse_request>();
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->Code, "deadline-passed");
  EXPECT_EQ(Refusal->Outcome, execution_outcome::Unknown);
}

TEST_F(entry_node_test, Chat_StreamBreaks_ResumesAfterTheCallersTokens) {
  dispatch_attempt First = dispatched(chat(1));
  send(attempt_headers{First.Attempt, 200, "text/event-stream", false, {}});
  send(attempt_chunk{First.Attempt, "a", 1});
  send(attempt_chunk{First.Attempt, "b", 1});
  send(attempt_failed{First.Attempt, attempt_failure::Truncated, "reset"});
  auto Second = find<dispatch_attempt>();
  ASSERT_TRUE(Second);
  EXPECT_EQ(Second->ResumeAfterTokens, 2);
  EXPECT_NE(Second->Upstream, First.Upstream);
}

TEST_F(entry_node_test, Chat_LateChunkOfFailedAttempt_IsNotPassedOn) {
  dispatch_attempt First = dispatched(chat(1));
  send(attempt_headers{First.Attempt, 200, "text/event-stream", false, {}});
  send(attempt_failed{First.Attempt, attempt_failure::Broken, "reset"});
  send(attempt_chunk{First.Attempt, "late", 1});
  EXPECT_FALSE(find<write_answer>());
  send(attempt_finished{First.Attempt});
  EXPECT_FALSE(find<finish_answer>());
}

TEST_F(entry_node_test, Chat_LateChunkWithoutFilter_IsTakenForTheSecond) {
  disabled_mechanism Off(mechanism::AttemptFilter);
  dispatch_attempt First = dispatched(chat(1));
  send(attempt_headers{First.Attempt, 200, "text/event-stream", false, {}});
  send(attempt_failed{First.Attempt, attempt_failure::Broken, "reset"});
  auto Second = find<dispatch_attempt>();
  ASSERT_TRUE(Second);
  send(attempt_headers{Second->Attempt, 200, "text/event-stream", false, {}});
  send(attempt_chunk{First.Attempt, "late", 1});
  EXPECT_TRUE(find<write_answer>());
}

// A paused process may handle a grant long after it was sent, when its keys are
// no longer valid.
TEST_F(entry_node_test, Order_KeysAreStaleWhenASlotIsThere_IsRefusedAsNotRun) {
  key_hash Hash(std::string(32, 'k'));
  giveKey(Hash);
  request_arrived Arrived = order(1);
  Arrived.Key = Hash;
  dispatch_attempt First;
  {
    disabled_mechanism TrustsKeys(mechanism::KeyTrustExpires);
    First = dispatched(std::move(Arrived));
  }
  send(attempt_failed{First.Attempt, attempt_failure::NeverSent, "refused"});
  EXPECT_FALSE(find<dispatch_attempt>());
  auto Refusal = find<refuse_request>();
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->Code, "keys-stale");
  EXPECT_EQ(Refusal->Outcome, execution_outcome::NotRun);
}

TEST_F(entry_node_test, Chat_KeyWithdrawn_StreamIsCancelled) {
  dispatch_attempt First = streamAndWithdraw();
  auto Cancel = find<cancel_attempt>();
  ASSERT_TRUE(Cancel);
  EXPECT_EQ(Cancel->Attempt, First.Attempt);
}

TEST_F(entry_node_test, Chat_KeyWithdrawnWithoutCancelling_StreamGoesOn) {
  disabled_mechanism Off(mechanism::WithdrawalCancels);
  dispatch_attempt First = streamAndWithdraw();
  EXPECT_FALSE(find<cancel_attempt>());
  send(attempt_chunk{First.Attempt, "more", 1});
  EXPECT_TRUE(find<write_answer>());
}

TEST_F(entry_node_test, Chat_UpstreamSilent_IsCancelledAndRunsElsewhere) {
  dispatch_attempt First = dispatched(chat(1));
  pass(std::chrono::seconds(4));
  auto Cancel = find<cancel_attempt>();
  ASSERT_TRUE(Cancel);
  EXPECT_EQ(Cancel->Attempt, First.Attempt);
  EXPECT_TRUE(find<dispatch_attempt>());
}

TEST_F(entry_node_test, Chat_CallerLeaves_UpstreamWorkIsCancelled) {
  dispatched(chat(1));
  send(caller_disconnected{request_id{1}});
  EXPECT_TRUE(find<cancel_attempt>());
  EXPECT_FALSE(find<refuse_request>());
}

// Usage must not be lost when all stewards of the own zone are dead.
TEST_F(entry_node_test, Usage_NoStewardInOwnZone_IsOfferedToAnotherZone) {
  wire::member Steward;
  Steward.Name = "steward-2";
  Steward.Role = wire::member_role::Steward;
  Steward.Zone = "south";
  Steward.Address = "10.0.2.1:7101";
  Steward.Incarnation = 2;
  Steward.State = wire::member_state::Alive;
  wire::heartbeat Heartbeat;
  Heartbeat.__set_Sender(Steward);
  send(peer_message_received{node_name("steward-2"), address("10.0.2.1:7101"),
                             Heartbeat});
  pass(std::chrono::seconds(1));
  wire::usage_batch Batch;
  Batch.Incarnation = 5;
  Batch.Sequence = 1;
  wire::usage_increment Increment;
  Increment.Organisation = "baths";
  Increment.Requests = 1;
  Batch.Increments = {Increment};
  wire::usage_hold Hold;
  Hold.Batch = Batch;
  send(peer_message_received{node_name("entry-9"), address("10.0.3.1:7100"),
                             Hold});
  bool Offered = false;
  for (int Tick = 0; Tick < 40; ++Tick) {
    ++Heartbeat.Nonce;
    send(peer_message_received{node_name("steward-2"), address("10.0.2.1:7101"),
                               Heartbeat});
    pass(std::chrono::milliseconds(100));
    for (const effect &Effect : Effects)
      if (const auto *Sent = std::get_if<send_message>(&Effect))
        Offered |= std::holds_alternative<wire::usage_offer>(Sent->Message);
  }
  EXPECT_TRUE(Offered);
}

TEST_F(entry_node_test, Order_CallerLeaves_RunGoesOn) {
  dispatched(order(1));
  send(caller_disconnected{request_id{1}});
  EXPECT_FALSE(find<cancel_attempt>());
}

TEST_F(entry_node_test, Drain_RequestRunning_WaitsForItsEnd) {
  dispatch_attempt First = dispatched(order(1));
  send(drain_requested{});
  pass(std::chrono::seconds(10));
  EXPECT_FALSE(find<drain_finished>());
  send(order(2));
  ASSERT_TRUE(find<refuse_request>());
  EXPECT_EQ(find<refuse_request>()->Code, "shutting-down");
  send(attempt_headers{First.Attempt, 200, "text/plain", false, {}});
  send(attempt_finished{First.Attempt});
  EXPECT_TRUE(find<finish_answer>());
  EXPECT_TRUE(find<drain_finished>());
}

TEST_F(entry_node_test, Drain_WithoutWaiting_CutsTheRequest) {
  disabled_mechanism Off(mechanism::DrainWaits);
  dispatched(order(1));
  send(drain_requested{});
  EXPECT_TRUE(find<drain_finished>());
}

TEST_F(entry_node_test, Request_PathWithoutRoute_IsRefusedAsNotRun) {
  request_arrived Arrived = chat(1);
  Arrived.Path = "/elsewhere";
  send(Arrived);
  auto Refusal = find<refuse_request>();
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->Status, 404);
  EXPECT_EQ(Refusal->Outcome, execution_outcome::NotRun);
}

} // namespace
} // namespace monsoonreel
