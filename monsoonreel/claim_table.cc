#include "monsoonreel/claim_table.h"

#include <algorithm>
#include <cstring>
#include <optional>

#include "monsoonreel/invariant.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

bool contains(const claim &Claim, const wire::attempt_id &Attempt) {
  return Claim.Released &&
         std::find(Claim.Released->begin(), Claim.Released->end(), Attempt) !=
             Claim.Released->end();
}

} // namespace

size_t recordedBytes(const wire::recorded_answer &Answer) {
  return sizeof(Answer) + Answer.Body.size() + Answer.ContentType.size();
}

std::optional<claim_table::claim_hash>
claim_table::hashOf(const std::string &Bytes) {
  claim_hash Hash{};
  if (Bytes.size() != Hash.size())
    return std::nullopt;
  std::memcpy(Hash.data(), Bytes.data(), Bytes.size());
  return Hash;
}

void claim_table::apply(log_offset Offset, const wire::log_record &Record,
                        effect_list &Effects) {
  if (!isEnabled(mechanism::OffsetOnlyGrows) || Offset > Applied) {
    if (!invariantHolds(Effects, Offset > Applied, "offset-only-grows",
                        "claims stream"))
      return;
    Applied = Offset;
    if (!Record.__isset.ClaimBatch)
      return;
    replayTime(Offset, Record);
    for (const wire::claim_entry &Entry : Record.ClaimBatch.Claims)
      replayClaim(Entry);
    for (const wire::claim_outcome &Outcome : Record.ClaimBatch.Outcomes)
      replayOutcome(Outcome, Record.ClaimBatch.WallMicros);
  }
}

void claim_table::replayClaim(const wire::claim_entry &Entry) {
  auto Hash = hashOf(Entry.Key.KeyHash);
  if (!Hash || isExpired(Entry.KeyMicros))
    return;
  bool TimedKey = Entry.KeyMicros > 0;
  // A writer whose clock is behind must not shorten the retention.
  int64_t Retain =
      std::max({Entry.CreatedWallMicros, Entry.KeyMicros, TimeMicros});
  auto Found = Claims.find(*Hash);
  claim *Claim = nullptr;
  if (Found == Claims.end()) {
    Claim = insert(*Hash, Entry.Key.Organisation, TimedKey, Retain);
    if (!Claim)
      return;
  } else {
    Claim = &Found->second;
    bool Void = contains(*Claim, Entry.Attempt) &&
                isEnabled(mechanism::ClaimReleaseVoids);
    if (Claim->Held || Void)
      return;
    setRetention(*Hash, *Claim, TimedKey, Retain);
  }
  Claim->Held = true;
  Claim->Holder = Entry.Attempt;
  Claim->BodyHash = Entry.BodyHash;
}

void claim_table::replayOutcome(const wire::claim_outcome &Outcome,
                                int64_t WallMicros) {
  auto Hash = hashOf(Outcome.Key.KeyHash);
  if (!Hash)
    return;
  bool NotRun = Outcome.Outcome == wire::run_outcome::NotRun;
  auto Found = Claims.find(*Hash);
  if (Found == Claims.end()) {
    // A slower steward may still append the claim after this outcome.
    if (!NotRun)
      return;
    if (claim *Claim = insert(*Hash, Outcome.Key.Organisation, false,
                              std::max(TimeMicros, WallMicros)))
      release(*Claim, Outcome.Attempt);
    return;
  }
  claim &Claim = Found->second;
  bool ByHolder = Claim.Held && Claim.Holder == Outcome.Attempt;
  if (ByHolder && Claim.Settled)
    return;
  if (NotRun) {
    release(Claim, Outcome.Attempt);
    return;
  }
  if (!ByHolder)
    return;
  Claim.Settled = true;
  Claim.Outcome = Outcome.Outcome;
  if (Outcome.__isset.Answer)
    storeAnswer(*Hash, Outcome.Answer);
}

void claim_table::release(claim &Claim, const wire::attempt_id &Attempt) {
  if (Claim.Held && Claim.Holder == Attempt)
    Claim.Held = false;
  if (contains(Claim, Attempt))
    return;
  if (!Claim.Released)
    Claim.Released = std::make_unique<std::vector<wire::attempt_id>>();
  if (Claim.Released->size() >= max_released_attempts)
    Claim.Released->erase(Claim.Released->begin());
  Claim.Released->push_back(Attempt);
}

void claim_table::storeAnswer(const claim_hash &Hash,
                              const wire::recorded_answer &Answer) {
  dropAnswer(Hash);
  stored_answer Kept{Answer, NextAnswer++};
  AnswerOrder[Kept.Order] = Hash;
  AnswerBytes += recordedBytes(Answer);
  Answers[Hash] = std::move(Kept);
  while (AnswerBytes > max_answer_bytes)
    dropAnswer(claim_hash(AnswerOrder.begin()->second));
}

void claim_table::dropAnswer(const claim_hash &Hash) {
  auto Found = Answers.find(Hash);
  if (Found == Answers.end())
    return;
  AnswerBytes -= recordedBytes(Found->second.Answer);
  AnswerOrder.erase(Found->second.Order);
  Answers.erase(Found);
}

const claim *claim_table::find(const wire::claim_key &Key) const {
  auto Hash = hashOf(Key.KeyHash);
  if (!Hash)
    return nullptr;
  auto Found = Claims.find(*Hash);
  return Found == Claims.end() ? nullptr : &Found->second;
}

const wire::recorded_answer *
claim_table::findAnswer(const wire::claim_key &Key) const {
  auto Hash = hashOf(Key.KeyHash);
  if (!Hash)
    return nullptr;
  auto Found = Answers.find(*Hash);
  return Found == Answers.end() ? nullptr : &Found->second.Answer;
}

bool claim_table::isReleased(const wire::claim_key &Key,
                             const wire::attempt_id &Attempt) const {
  const claim *Claim = find(Key);
  return Claim && contains(*Claim, Attempt);
}

bool claim_table::isSettled(const wire::claim_key &Key,
                            const wire::attempt_id &Attempt) const {
  const claim *Claim = find(Key);
  if (!Claim)
    return false;
  bool ByHolder = Claim->Held && Claim->Holder == Attempt;
  return (ByHolder && Claim->Settled) || contains(*Claim, Attempt);
}

bool claim_table::isExpired(int64_t KeyMicros) const {
  return KeyMicros > 0 && KeyMicros < KeyHorizon &&
         isEnabled(mechanism::ClaimHorizon);
}

wire::writer_state claim_table::writer(incarnation Writer) const {
  auto Found = Writers.find(Writer.Value);
  return Found == Writers.end() ? wire::writer_state() : Found->second;
}

} // namespace monsoonreel
