// Builders of log records for tests.
//
//   Log.append(withdrawKey("k1"));

#ifndef MONSOONREEL_TESTING_RECORDS_H
#define MONSOONREEL_TESTING_RECORDS_H

#include <string>

#include "monsoonreel/wire.h"

namespace monsoonreel::testing {

// A valid document that differs for each Number.
inline std::string makeDocument(int Number) {
  return "classes:\n  - {name: quick, tier: 1, first_token: " +
         std::to_string(Number) +
         "ms}\n"
         "organisations:\n  - {name: tiles}\n"
         "upstreams:\n  - {name: m1, pool: large, zone: north, address: "
         "\"127.0.0.1:8001\", cheap: true}\n"
         "routes:\n  - {path: /v1, class: quick, idempotent: true}\n";
}

inline wire::log_record editConfig(int64_t Base, int Number) {
  wire::config_edit Edit;
  Edit.Base = Base;
  Edit.Document = makeDocument(Number);
  wire::log_record Record;
  Record.__set_ConfigEdit(Edit);
  return Record;
}

// The key's hash consists of 32 times HashByte.
inline wire::log_record giveKey(const std::string &Id, char HashByte) {
  wire::key_give Give;
  Give.KeyId = Id;
  Give.Organisation = "tiles";
  Give.KeyHash = std::string(32, HashByte);
  wire::log_record Record;
  Record.__set_KeyGive(Give);
  return Record;
}

inline wire::log_record withdrawKey(const std::string &Id) {
  wire::key_withdraw Withdraw;
  Withdraw.KeyId = Id;
  wire::log_record Record;
  Record.__set_KeyWithdraw(Withdraw);
  return Record;
}

inline wire::log_record claimLease(const std::string &Lease, int64_t Previous,
                                   int64_t Holder) {
  wire::lease_claim Claim;
  Claim.Lease = Lease;
  Claim.Previous = Previous;
  Claim.Holder = "steward" + std::to_string(Holder);
  Claim.Incarnation = Holder;
  Claim.DurationMicros = 10'000'000;
  wire::log_record Record;
  Record.__set_LeaseClaim(Claim);
  return Record;
}

inline wire::usage_batch makeBatch(int64_t Source, int64_t Sequence,
                                   int64_t Tokens) {
  wire::usage_increment Increment;
  Increment.Organisation = "tiles";
  Increment.ServiceClass = "quick";
  Increment.Requests = 1;
  Increment.OutputTokens = Tokens;
  wire::usage_batch Batch;
  Batch.Incarnation = Source;
  Batch.Sequence = Sequence;
  Batch.Increments.push_back(Increment);
  return Batch;
}

inline wire::log_record appendUsage(wire::usage_batch Batch) {
  wire::usage_append Append;
  Append.Batches.push_back(std::move(Batch));
  wire::log_record Record;
  Record.__set_UsageAppend(Append);
  return Record;
}

inline wire::log_record closeWindow(int64_t Window, int64_t Fence) {
  wire::usage_close Close;
  Close.Window = Window;
  Close.Fence = Fence;
  wire::log_record Record;
  Record.__set_UsageClose(Close);
  return Record;
}

inline wire::log_record windowReported(int64_t Window) {
  wire::usage_reported Reported;
  Reported.Window = Window;
  wire::log_record Record;
  Record.__set_UsageReported(Reported);
  return Record;
}

inline wire::log_record intendOrder(const std::string &Id, int64_t Fence) {
  wire::order_intent Intent;
  Intent.OrderId = Id;
  Intent.Zone = "north";
  Intent.Fence = Fence;
  Intent.Kind = wire::order_kind::StartUpstream;
  wire::log_record Record;
  Record.__set_OrderIntent(Intent);
  return Record;
}

inline wire::log_record finishOrder(const std::string &Id) {
  wire::order_done Done;
  Done.OrderId = Id;
  wire::log_record Record;
  Record.__set_OrderDone(Done);
  return Record;
}

inline wire::log_record coverBySnapshot(int64_t Covers,
                                        const wire::ledger_state &State) {
  wire::snapshot Snapshot;
  Snapshot.CoversOffset = Covers;
  Snapshot.State = encodeState(State);
  wire::log_record Record;
  Record.__set_Snapshot(Snapshot);
  return Record;
}

} // namespace monsoonreel::testing

#endif // MONSOONREEL_TESTING_RECORDS_H
