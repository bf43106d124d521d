// Messages between monsoonreel's own processes, and the records that they
// append to the platform's log.
//
// Struct and field names follow the C++ style of the library, because the
// generated code is used as the message types. Durations are microseconds and
// relative: no message carries a reading of a clock that another machine would
// compare with its own, except where a field says "wall clock".
//
// Regenerate wire/gen with `make wire` after a change. Fields are only added,
// never renumbered: old and new processes talk to each other during an upgrade.

namespace cpp monsoonreel.wire

// ---------------------------------------------------------------- membership

enum member_role { Entry = 1, Steward = 2 }
enum member_state { Alive = 1, Suspect = 2, Leaving = 3, Dead = 4 }

struct member {
  1: string Name
  2: member_role Role
  3: string Zone
  4: string Address            // ip:port of the peer listener
  5: i64 Incarnation           // grows with every start of the process
  6: i32 Refutation            // grows when the member denies a suspicion
  7: member_state State
  8: i32 Capacity              // share of a core in thousandths; 0: not known
}

// One pool's queue as its owner sees it; spread so that askers can choose.
struct pool_load {
  1: string Pool
  2: string Owner
  3: i64 QueueWaitMicros
  4: i32 FreeSlots
  5: i64 AgeMicros             // since its owner told it
}

// What can change of a member while its process runs.
struct member_run {
  1: i64 Incarnation
  2: i32 Refutation
  3: member_state State
}

struct heartbeat {
  1: i64 Nonce
  2: optional member Sender    // unset when SenderRun says enough
  3: i64 LedgerOffset          // highest applied offset of the operator stream
  4: list<member> Gossip
  5: list<pool_load> Loads
  6: bool Retry                // an earlier one was not answered
  7: bool WantsMembers         // the sender knows few members: send all
  8: optional i32 MembersDigest // over all members that the sender holds live
  9: optional member_run SenderRun // to a receiver that has acknowledged Sender
  10: optional list<i64> Changes    // of known members: see member_change.h
}

struct heartbeat_ack {
  1: i64 Nonce
  2: optional member Sender
  3: i64 LedgerOffset
  4: list<member> Gossip
  5: list<pool_load> Loads
  6: string OnBehalfOf         // empty, or the member that an indirect probe reached
  7: optional i64 LogAgeMicros // since the log's end was read, by whoever the
                               // sender has LedgerOffset from; unset: never
  8: optional i32 MembersDigest
  9: optional member_run SenderRun
  10: optional list<i64> Changes
}

// Asks another member to probe Target and to pass the answer on.
struct probe_request {
  1: i64 Nonce
  2: member Sender
  3: member Target
}

// ---------------------------------------------------------------- state sync

struct stored_record {
  1: i64 Offset
  2: binary Bytes              // a log_record in compact form
}

struct state_pull {
  1: string Stream
  2: i64 FromOffset            // first offset that is wanted
}

struct state_push {
  1: string Stream
  2: list<stored_record> Records
  3: optional stored_record Snapshot  // when FromOffset is no longer kept
  4: i64 HighestOffset
}

// ---------------------------------------------------------------- claims

struct claim_key {
  1: string Organisation
  2: binary KeyHash            // 16 bytes of XXH3-128 of the idempotency key
}

// One try of one entry to run a claimed request.
struct attempt_id {
  1: i64 Incarnation
  2: i64 Sequence
}

enum claim_verdict { Won = 1, InProgress = 2, Finished = 3, OutcomeUnknown = 4, Unavailable = 5, Mismatch = 6, Expired = 7 }
enum run_outcome { NotRun = 1, Run = 2, Unknown = 3 }

struct claim_ask {
  1: claim_key Key
  2: attempt_id Attempt
  3: i64 BodyHash              // XXH3-64 of method, path and body
  4: i64 KeyMicros             // wall clock in a UUIDv7 key; 0 for other keys
}

struct recorded_answer {
  1: i32 Status
  2: string ContentType
  3: binary Body               // bounded; empty when too large to keep
  4: bool BodyKept
}

struct claim_answer {
  1: attempt_id Attempt
  2: claim_verdict Verdict
  3: optional recorded_answer Answer
  4: i64 RetryAfterMicros
}

struct claim_settle {
  1: claim_key Key
  2: attempt_id Attempt
  3: run_outcome Outcome
  4: optional recorded_answer Answer
}

struct claim_settled {
  1: attempt_id Attempt
}

// ---------------------------------------------------------------- usage

struct usage_increment {
  1: string Organisation
  2: string ServiceClass
  3: i64 Requests
  4: i64 PromptTokens
  5: i64 OutputTokens
}

struct usage_batch {
  1: i64 Incarnation           // of the entry that metered it
  2: i64 Sequence              // from 1, without gaps, per incarnation
  3: list<usage_increment> Increments
}

// An entry hands a batch to a steward, which appends it to the log.
struct usage_offer {
  1: usage_batch Batch
}

// The batch is in the log and was read back.
struct usage_accepted {
  1: i64 Incarnation
  2: i64 Sequence
}

// Held by an entry on another VM until the log has the batch.
struct usage_hold {
  1: usage_batch Batch
  2: string Source
}

struct usage_held {
  1: i64 Incarnation
  2: i64 Sequence
  3: i64 Holder                // incarnation of the process that holds it
}

struct usage_release {
  1: i64 Incarnation
  2: i64 UpToSequence
}

// ---------------------------------------------------------------- slots

// Pool, ServiceClass and Organisation may be short: a zero byte and 32 bits of
// the name's hash. An owner that does not know one refuses with NoUpstream, and
// is asked again with the names in full.
struct slot_ask {
  1: i64 Ask                   // unique for the asker, over all its runs
  2: string Pool
  3: string ServiceClass
  4: i32 Tier                  // 0 is the highest
  5: string Organisation
  6: i64 TimeLeftMicros        // until the target would be missed
  7: i32 PromptTokens
  8: i32 ExpectedOutputTokens  // upper bound; 0 when unknown
  9: i64 PrefixHash            // 27 bits of it
  10: bool Idempotent
  11: list<string> Excluded    // upstreams that already failed this request
  12: i64 GiveUpMicros         // until the caller's own deadline
  13: i64 Incarnation          // 0; of the asking entry in earlier versions
  14: bool Resumed             // a part of its answer has been made already
}

struct slot_grant {
  1: i64 Ask
  2: string Upstream
  3: i64 Slot                  // unique for the owner's run
  4: i32 Priority              // for the engine's own scheduler
  5: i64 OwnerIncarnation      // a short number of the owner's run
  6: bool FreshConnection      // a probe: dispatch on a new connection
}

// The ask waits. Tells the asker that its owner is alive; a repeated ask is
// answered again.
struct slot_queued {
  1: i64 Ask
}

enum refusal_reason { QueueFull = 1, TargetUnreachable = 2, NoUpstream = 3, OrganisationLimit = 4, NotOwner = 5, ShuttingDown = 6, DeadlinePassed = 7 }

struct slot_refuse {
  1: i64 Ask
  2: refusal_reason Reason
  3: i64 RetryAfterMicros
}

enum slot_result { Completed = 1, Failed = 2, Silent = 3, Cancelled = 4, NeverSent = 5 }

struct slot_release {
  1: i64 Slot
  2: slot_result Result
  3: i64 FirstTokenMicros      // 0 when none came
  4: i64 TotalMicros
  5: i32 OutputTokens
  6: i64 OwnerIncarnation
}

// The asker no longer waits.
struct slot_cancel {
  1: i64 Ask
  2: i64 Incarnation           // as in the ask
}

// The owner takes a running slot back for a higher tier.
struct slot_preempt {
  1: i64 Slot
  2: i64 Ask
}

// Progress of running slots, so that an owner keeps slots of live askers and
// frees those of dead ones.
struct slot_renew {
  1: i64 Incarnation           // not used
  2: i64 OwnerIncarnation
  3: list<i64> Slots
}

// ---------------------------------------------------------------- log records

// Copies Length bytes of the base from Start on, and appends Text.
struct document_piece {
  1: i32 Start
  2: i32 Length
  3: binary Text
}

// How a document is made from another one: its pieces, one after the other.
struct document_difference {
  1: list<document_piece> Pieces
  2: binary ResultHash         // 16 bytes of XXH3-128 of the document
}

// Replaces the configuration document. Valid when Base is the offset of the
// document in force.
struct config_edit {
  1: i64 Base
  2: string Document           // YAML; empty when there is a Difference
  3: string Author
  4: optional document_difference Difference  // to the document in force
}

struct key_give {
  1: string KeyId
  2: string Organisation
  3: binary KeyHash            // SHA-256 of the key
}

struct key_withdraw {
  1: string KeyId
}

// Valid when Previous is the offset of the lease's current claim, or 0 when
// there was none. The record's own offset is the fencing number.
struct lease_claim {
  1: string Lease
  2: i64 Previous
  3: string Holder
  4: i64 Incarnation
  5: i64 DurationMicros
  6: bool Released             // the holder gives it up early
}

struct usage_append {
  1: list<usage_batch> Batches
}

// Valid when Window is one more than the last closed window and Fence is the
// current claim of the reporter's lease. The window's figures are those of all
// batches between the last close and this record, as replayed; a batch with a
// higher offset counts in the next window.
struct usage_close {
  1: i64 Window
  2: i64 Fence
  3: list<usage_increment> Figures  // not used
  4: i64 UpToOffset                 // not used
}

struct usage_reported {
  1: i64 Window
}

enum order_kind { StartUpstream = 1, StopUpstream = 2, LoadModel = 3 }

// Valid when Fence is the current claim of the zone's order lease.
struct order_intent {
  1: string OrderId
  2: string Zone
  3: i64 Fence
  4: order_kind Kind
  5: string Target
  6: i32 Count
}

struct order_done {
  1: string OrderId
  2: bool Accepted
}

struct claim_entry {
  1: claim_key Key
  2: attempt_id Attempt
  3: i64 BodyHash
  4: i64 CreatedWallMicros     // wall clock of the appending steward
  5: i64 KeyMicros             // wall clock in a UUIDv7 key; 0 for other keys
}

struct claim_outcome {
  1: claim_key Key
  2: attempt_id Attempt
  3: run_outcome Outcome
  4: optional recorded_answer Answer
}

struct claim_batch {
  1: list<claim_entry> Claims
  2: list<claim_outcome> Outcomes
  3: i64 WallMicros            // wall clock of the appending steward
  4: i64 WindowMicros          // for how long keys are to be remembered
}

// The state of a stream's replay after all records up to CoversOffset.
struct snapshot {
  1: i64 CoversOffset
  2: binary State              // ledger_state or claims_state
}

// Every record carries its writer and sequence, so that an append that is sent
// again after a lost answer takes effect once.
struct log_record {
  1: i64 Incarnation
  2: i64 Sequence
  3: optional config_edit ConfigEdit
  4: optional key_give KeyGive
  5: optional key_withdraw KeyWithdraw
  6: optional lease_claim LeaseClaim
  7: optional usage_append UsageAppend
  8: optional usage_close UsageClose
  9: optional usage_reported UsageReported
  10: optional order_intent OrderIntent
  11: optional order_done OrderDone
  12: optional claim_batch ClaimBatch
  13: optional snapshot Snapshot
}

// ---------------------------------------------------------------- snapshots

struct key_state {
  1: string KeyId
  2: string Organisation
  3: binary KeyHash
  4: bool Withdrawn
  5: i64 Offset                // of the giving or the withdrawing record
}

struct lease_state {
  1: string Lease
  2: i64 Fence
  3: string Holder
  4: i64 Incarnation
  5: i64 DurationMicros
  6: bool Released
}

// What was replayed of one writer, or of one source of usage batches: all up to
// Sequence, and those beyond it that Ahead marks. Bit 0 stands for Sequence + 2,
// since Sequence + 1 is missing.
struct writer_state {
  1: i64 Incarnation
  2: i64 Sequence
  3: i64 LastOffset
  4: i64 WallMicros            // wall clock in its last record, claims only
  5: i64 Ahead
}

struct closed_window {
  1: i64 Window
  2: list<usage_increment> Figures
  3: bool Reported
}

struct order_state {
  1: order_intent Intent
  2: i64 Offset
}

struct ledger_state {
  1: i64 ConfigOffset
  2: string Document
  3: list<key_state> Keys
  4: list<lease_state> Leases
  5: list<writer_state> Writers
  6: list<writer_state> UsageSources
  7: list<usage_increment> OpenUsage
  8: list<closed_window> Windows
  9: list<order_state> Orders
  10: i64 LastClosedWindow
  11: i64 LastSnapshot         // offset of the newest snapshot record
}

// A claim as a snapshot keeps it; small, because one record holds all.
struct kept_claim {
  1: binary KeyHash
  2: i32 Organisation          // place in claims_state.Organisations
  3: attempt_id Holder
  4: i64 BodyHash
  5: i64 RetainMicros          // forgotten once its horizon is later
  6: bool TimedKey             // the key is a UUIDv7
  7: bool Held                 // false: free, only Released is remembered
  8: optional run_outcome Outcome // set once it is settled
  9: optional list<attempt_id> Released // attempts that can't win any more
  10: optional recorded_answer Answer
}

struct claims_state {
  1: list<kept_claim> Claims
  2: list<writer_state> Writers
  3: i64 TimeMicros            // wall clock that two writers vouched for
  4: i64 KeyHorizonMicros      // UUIDv7 keys from before it are expired
  5: i64 OpaqueHorizonMicros   // claims of other keys from before are forgotten
  6: list<string> Organisations
}
