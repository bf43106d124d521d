// The state replayed from the claims stream: which attempt holds each
// idempotency key.
//
//   claim_table Table;
//   Table.apply(log_offset{7}, Record, Effects);
//   const claim *Claim = Table.find(Key);
//   if (Claim && Claim->Held && Claim->Holder == Attempt)
//     answer(wire::claim_verdict::Won);
//
// The state is a pure function of the stream's records, so all stewards reach
// the same state:
//
// - The first claim of a key in offset order holds the key; later claims are
//   void.
// - The outcome NotRun of the holder frees the key for the next claim. An
//   attempt that was settled as NotRun can't win the key any more, even if its
//   claim comes after its outcome in the stream.
// - Any other outcome of the holder is final. The answer is stored if there is
//   one.
//
// Stored answers are the exception: a snapshot contains only the newest ones,
// so a table restored from a snapshot may lack answers that other nodes have.
//
// Time: each record carries the wall clock of its writer. The table's time is
// the highest time that at least two writers have reached, so a single wrong
// clock can't advance it. A UUIDv7 key that is older than the key horizon is
// expired and can't be claimed, so the claims of such keys can safely be
// removed. Claims of other keys are removed when they are older than the
// window. When the table is full, the key horizon advances early, but never to
// keys younger than `min_claim_window`. Claims for which there is still no
// space are void.

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

// Maximum number of claims. A full table fits into one snapshot record.
constexpr size_t max_claims = 65536;
// Maximum number of claims of opaque keys, which contain no time.
constexpr size_t max_opaque_claims = max_claims / 4 * 3;
constexpr size_t max_claims_per_organisation = max_claims / 2;
// Keys younger than this are not expired, even when the table is full.
constexpr duration min_claim_window = std::chrono::minutes(10);
// Attempts settled as NotRun that are kept for each key.
constexpr size_t max_released_attempts = 8;
// Maximum size of all recorded answers, and of those in a snapshot, in bytes.
// The oldest answers are dropped first.
constexpr size_t max_answer_bytes = size_t{8} << 20;
constexpr size_t max_snapshot_answer_bytes = size_t{256} << 10;
constexpr size_t max_claim_writers = 256;
constexpr size_t claim_hash_bytes = 16;

// The replayed state of one key.
struct claim {
  wire::attempt_id Holder; // valid if Held
  int64_t BodyHash = 0;
  int64_t RetainMicros = 0;
  uint32_t Organisation = 0;
  bool Held = false;
  bool Settled = false;
  bool TimedKey = false;
  wire::run_outcome::type Outcome =
      wire::run_outcome::Unknown; // valid if Settled
  // Attempts that can't win the key any more; null in most claims.
  std::unique_ptr<std::vector<wire::attempt_id>> Released;
};

// The size of a recorded answer, in bytes, that counts towards the bounds
// above.
size_t recordedBytes(const wire::recorded_answer &Answer);

class claim_table {
public:
  // Replays the record at Offset. Ignores offsets that were already replayed.
  void apply(log_offset Offset, const wire::log_record &Record,
             effect_list &Effects);

  // The state of a key, or nullptr if the table has none.
  const claim *find(const wire::claim_key &Key) const;
  // The recorded answer of a key, or nullptr if none is stored.
  const wire::recorded_answer *findAnswer(const wire::claim_key &Key) const;
  bool isReleased(const wire::claim_key &Key,
                  const wire::attempt_id &Attempt) const;
  // Whether the outcome of Attempt has been replayed.
  bool isSettled(const wire::claim_key &Key,
                 const wire::attempt_id &Attempt) const;
  // Whether a UUIDv7 key with this time, in microseconds since the epoch, is
  // too old to be claimed. 0 stands for an opaque key, which never expires.
  bool isExpired(int64_t KeyMicros) const;

  log_offset applied() const { return Applied; }
  size_t size() const { return Claims.size(); }
  // The state of a writer as of its last record; sequence 0 if it has none.
  wire::writer_state writer(incarnation Writer) const;

  wire::claims_state state() const;
  // Replaces the state by that of a snapshot. Returns false and changes nothing
  // if Covers is not newer than the applied offset or the snapshot is not
  // consistent.
  bool restore(log_offset Covers, const wire::claims_state &Snapshot,
               effect_list &Effects);

private:
  using claim_hash = std::array<char, claim_hash_bytes>;
  using retain_order = absl::btree_set<std::pair<int64_t, claim_hash>>;
  using claim_map = absl::flat_hash_map<claim_hash, claim>;
  struct stored_answer {
    wire::recorded_answer Answer;
    uint64_t Order = 0;
  };

  // Empty if Bytes does not have the length of a hash.
  static std::optional<claim_hash> hashOf(const std::string &Bytes);
  void replayClaim(const wire::claim_entry &Entry);
  // WallMicros is the writer's wall clock in microseconds since the epoch.
  void replayOutcome(const wire::claim_outcome &Outcome, int64_t WallMicros);
  void release(claim &Claim, const wire::attempt_id &Attempt);
  void storeAnswer(const claim_hash &Hash, const wire::recorded_answer &Answer);
  // Does nothing if no answer is stored for the key.
  void dropAnswer(const claim_hash &Hash);

  // Advances the table's time by the writer's clock, and moves the horizons.
  void replayTime(log_offset Offset, const wire::log_record &Record);
  int64_t corroboratedTime() const;
  void moveHorizons(int64_t WindowMicros);
  void forgetBefore(retain_order &Order, int64_t Horizon);
  void forget(const claim_hash &Hash);

  // Adds a claim for the organisation. Returns nullptr if there is no space.
  claim *insert(const claim_hash &Hash, const std::string &Organisation,
                bool TimedKey, int64_t RetainMicros);
  // Adds a claim to the retention order and to the count of its organisation.
  // The claim's fields must be set before.
  void addToIndexes(const claim_hash &Hash, const claim &Claim);
  bool makeRoom(uint32_t Organisation, bool TimedKey);
  void setRetention(const claim_hash &Hash, claim &Claim, bool TimedKey,
                    int64_t RetainMicros);
  retain_order &orderOf(const claim &Claim);
  uint32_t indexOf(const std::string &Organisation);

  // The newest answers that fit into a snapshot.
  absl::flat_hash_map<claim_hash, const wire::recorded_answer *>
  answersForSnapshot() const;
  // Adds a claim from a snapshot. Returns false if it is not consistent.
  bool load(const wire::kept_claim &Kept);

  log_offset Applied;
  claim_map Claims;
  retain_order TimedOrder;
  retain_order OpaqueOrder;
  std::vector<std::string> Organisations;
  absl::flat_hash_map<std::string, uint32_t> OrganisationIndex;
  std::vector<size_t> ClaimsOfOrganisation;
  absl::flat_hash_map<claim_hash, stored_answer> Answers;
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
