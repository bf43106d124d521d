// The replay of the claims stream: which attempt holds each idempotency key.
//
//   claim_table Table;
//   Table.apply(log_offset{7}, Record, Effects);
//   const claim *Claim = Table.find(Key);
//   if (Claim && Claim->Held && Claim->Holder == Attempt)
//     answer(wire::claim_verdict::Won);
//
// The state is a pure function of the stream's records, so that all stewards
// agree:
//
// - The first claim of a key in offset order holds it, and others are void.
// - The holder's outcome NotRun frees the key for the next claim. An attempt
//   that was settled as NotRun can't win any more, also when its claim comes
//   later than its outcome.
// - Any other outcome settles the claim for good, with the answer if there is
//   one.
//
// Answers are the exception: a snapshot holds the newest ones only, so a table
// that was restored from it may lack some that others still have.
//
// Time: each record carries its writer's wall clock. The table's time is the
// highest that two writers have reached, so that one wrong clock moves nothing.
// A UUIDv7 key from before the key horizon is expired and can't be claimed;
// only claims of such keys are forgotten. Claims of other keys are forgotten
// when they are older than the window. When the table is full, the key horizon
// moves up, down to `min_claim_window`; claims that still find no room are
// void.

#ifndef MONSOONREEL_CLAIM_TABLE_H
#define MONSOONREEL_CLAIM_TABLE_H

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include "monsoonreel/effect.h"
#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

constexpr std::string_view claims_stream = "claims";

// Claims that are remembered. All of them fit into one snapshot record.
constexpr size_t max_claims = 65536;
// Of these, claims of keys without a time in them.
constexpr size_t max_opaque_claims = max_claims / 4 * 3;
constexpr size_t max_claims_per_organisation = max_claims / 2;
// A full table never expires keys that are younger than this.
constexpr duration min_claim_window = std::chrono::minutes(10);
// Attempts settled as NotRun that are remembered for each key.
constexpr size_t max_released_attempts = 8;
// Bytes of recorded answers; the oldest are dropped first.
constexpr size_t max_answer_bytes = size_t{8} << 20;
constexpr size_t max_snapshot_answer_bytes = size_t{256} << 10;
constexpr size_t max_claim_writers = 256;
constexpr size_t claim_hash_bytes = 16;

// What the stream says about one key.
struct claim {
  wire::attempt_id Holder; // when Held
  int64_t BodyHash = 0;
  int64_t RetainMicros = 0;
  uint32_t Organisation = 0;
  bool Held = false;
  bool Settled = false;
  bool TimedKey = false;
  wire::run_outcome::type Outcome = wire::run_outcome::Unknown; // when Settled
  // Attempts that can't win any more; rarely any.
  std::unique_ptr<std::vector<wire::attempt_id>> Released;
};

// What a recorded answer counts towards the bounds above.
size_t recordedBytes(const wire::recorded_answer &Answer);

class claim_table {
public:
  // Replays the record at Offset; one that was replayed before is ignored.
  void apply(log_offset Offset, const wire::log_record &Record,
             effect_list &Effects);

  // The claim of a key, or nullptr when nothing is known about it.
  const claim *find(const wire::claim_key &Key) const;
  // The answer of a claim that ran, or nullptr when it was not kept.
  const wire::recorded_answer *findAnswer(const wire::claim_key &Key) const;
  bool isReleased(const wire::claim_key &Key,
                  const wire::attempt_id &Attempt) const;
  // Whether the outcome of Attempt was replayed.
  bool isSettled(const wire::claim_key &Key,
                 const wire::attempt_id &Attempt) const;
  // Whether a UUIDv7 key with this time is too old to be claimed. Zero stands
  // for other keys, which never are.
  bool isExpired(int64_t KeyMicros) const;

  log_offset applied() const { return Applied; }
  size_t size() const { return Claims.size(); }
  // The last record of a writer; sequence 0 when there is none.
  wire::writer_state writer(incarnation Writer) const;

  wire::claims_state state() const;
  // Replaces the state by that of a snapshot. False, and nothing is changed,
  // when Covers is not newer or the snapshot is not consistent.
  bool restore(log_offset Covers, const wire::claims_state &Snapshot,
               effect_list &Effects);

private:
  using claim_hash = std::array<char, claim_hash_bytes>;
  using retain_order = absl::btree_set<std::pair<int64_t, claim_hash>>;
  using claim_map = absl::flat_hash_map<claim_hash, claim>;
  struct kept_answer {
    wire::recorded_answer Answer;
    uint64_t Order = 0;
  };

  // Nothing when Bytes is not of a hash's length.
  static std::optional<claim_hash> hashOf(const std::string &Bytes);
  void replayClaim(const wire::claim_entry &Entry);
  // WallMicros is the writer's clock.
  void replayOutcome(const wire::claim_outcome &Outcome, int64_t WallMicros);
  void release(claim &Claim, const wire::attempt_id &Attempt);
  void keepAnswer(const claim_hash &Hash, const wire::recorded_answer &Answer);
  // Does nothing when there is none.
  void dropAnswer(const claim_hash &Hash);

  // Takes the writer's clock into the table's time and moves the horizons.
  void replayTime(log_offset Offset, const wire::log_record &Record);
  int64_t vouchedTime() const;
  void moveHorizons(int64_t WindowMicros);
  void forgetBefore(retain_order &Order, int64_t Horizon);
  void forget(const claim_hash &Hash);

  // A new claim of the key's organisation, or nullptr when there is no room.
  claim *insert(const claim_hash &Hash, const std::string &Organisation,
                bool TimedKey, int64_t RetainMicros);
  // Takes a claim whose fields are set into the retention order and the count
  // of its organisation.
  void countIn(const claim_hash &Hash, const claim &Claim);
  bool makeRoom(uint32_t Organisation, bool TimedKey);
  void setRetention(const claim_hash &Hash, claim &Claim, bool TimedKey,
                    int64_t RetainMicros);
  retain_order &orderOf(const claim &Claim);
  uint32_t indexOf(const std::string &Organisation);

  // The newest answers that fit into a snapshot.
  absl::flat_hash_map<claim_hash, const wire::recorded_answer *>
  answersForSnapshot() const;
  // Takes a claim over from a snapshot. False when it is not consistent.
  bool load(const wire::kept_claim &Kept);

  log_offset Applied;
  claim_map Claims;
  retain_order TimedOrder;
  retain_order OpaqueOrder;
  std::vector<std::string> Organisations;
  absl::flat_hash_map<std::string, uint32_t> OrganisationIndex;
  std::vector<size_t> ClaimsOfOrganisation;
  absl::flat_hash_map<claim_hash, kept_answer> Answers;
  std::map<uint64_t, claim_hash> AnswerOrder;
  uint64_t NextAnswer = 1;
  size_t AnswerBytes = 0;
  std::map<int64_t, wire::writer_state> Writers;
  int64_t TimeMicros = 0;
  int64_t KeyHorizon = 0;
  int64_t OpaqueHorizon = 0;
};

} // namespace monsoonreel

#endif // MONSOONREEL_CLAIM_TABLE_H
