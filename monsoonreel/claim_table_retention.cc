// Retention of the claim table, and its snapshots.

#include "monsoonreel/claim_table.h"

#include <algorithm>

#include "monsoonreel/invariant.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

// Leaves out the key's hash and the answer, which are stored separately from
// the claim.
wire::kept_claim toKept(const claim &Claim) {
  wire::kept_claim Kept;
  Kept.Organisation = static_cast<int32_t>(Claim.Organisation);
  Kept.Holder = Claim.Holder;
  Kept.BodyHash = Claim.BodyHash;
  Kept.RetainMicros = Claim.RetainMicros;
  Kept.TimedKey = Claim.TimedKey;
  Kept.Held = Claim.Held;
  if (Claim.Settled)
    Kept.__set_Outcome(Claim.Outcome);
  if (Claim.Released)
    Kept.__set_Released(*Claim.Released);
  return Kept;
}

claim fromKept(const wire::kept_claim &Kept) {
  claim Claim;
  Claim.Organisation = static_cast<uint32_t>(Kept.Organisation);
  Claim.Holder = Kept.Holder;
  Claim.BodyHash = Kept.BodyHash;
  Claim.RetainMicros = Kept.RetainMicros;
  Claim.TimedKey = Kept.TimedKey;
  Claim.Held = Kept.Held;
  Claim.Settled = Kept.__isset.Outcome;
  Claim.Outcome = Kept.Outcome;
  if (Kept.__isset.Released)
    Claim.Released =
        std::make_unique<std::vector<wire::attempt_id>>(Kept.Released);
  return Claim;
}

} // namespace

void claim_table::replayTime(log_offset Offset,
                             const wire::log_record &Record) {
  const wire::claim_batch &Batch = Record.ClaimBatch;
  wire::writer_state &Writer = Writers[Record.Incarnation];
  Writer.Incarnation = Record.Incarnation;
  Writer.Sequence = std::max(Writer.Sequence, Record.Sequence);
  Writer.LastOffset = Offset.Value;
  Writer.WallMicros = Batch.WallMicros;
  if (Writers.size() > max_claim_writers) {
    auto LeastRecent = std::min_element(
        Writers.begin(), Writers.end(),
        [](const auto &Left, const auto &Right) {
          return Left.second.LastOffset < Right.second.LastOffset;
        });
    Writers.erase(LeastRecent);
  }
  TimeMicros = std::max(TimeMicros, corroboratedTime());
  moveHorizons(Batch.WindowMicros);
}

// The second highest of the writers' latest clock readings.
int64_t claim_table::corroboratedTime() const {
  int64_t Highest = 0;
  int64_t Second = 0;
  for (const auto &[Incarnation, Writer] : Writers) {
    Second = std::max(Second, std::min(Highest, Writer.WallMicros));
    Highest = std::max(Highest, Writer.WallMicros);
  }
  return isEnabled(mechanism::ClaimTimeVouched) ? Second : Highest;
}

void claim_table::moveHorizons(int64_t WindowMicros) {
  int64_t Window = std::max(WindowMicros, toMicros(min_claim_window));
  int64_t Horizon = TimeMicros - Window;
  OpaqueHorizon = std::max(OpaqueHorizon, Horizon);
  KeyHorizon = std::max(KeyHorizon, Horizon);
  forgetBefore(OpaqueOrder, OpaqueHorizon);
  forgetBefore(TimedOrder, KeyHorizon);
}

void claim_table::forgetBefore(retain_order &Order, int64_t Horizon) {
  while (!Order.empty() && Order.begin()->first < Horizon)
    forget(Order.begin()->second);
}

void claim_table::forget(const claim_hash &Hash) {
  auto Found = Claims.find(Hash);
  const claim &Claim = Found->second;
  // Hash is copied because it may refer to the node that is erased.
  std::pair<int64_t, claim_hash> Place(Claim.RetainMicros, Hash);
  --ClaimsOfOrganisation[Claim.Organisation];
  orderOf(Claim).erase(Place);
  dropAnswer(Place.second);
  Claims.erase(Found);
}

claim *claim_table::insert(const claim_hash &Hash,
                           const std::string &Organisation, bool TimedKey,
                           int64_t RetainMicros) {
  uint32_t Index = indexOf(Organisation);
  if (!makeRoom(Index, TimedKey))
    return nullptr;
  claim &Claim = Claims[Hash];
  Claim.Organisation = Index;
  Claim.TimedKey = TimedKey;
  Claim.RetainMicros = RetainMicros;
  addToIndexes(Hash, Claim);
  return &Claim;
}

void claim_table::addToIndexes(const claim_hash &Hash, const claim &Claim) {
  ++ClaimsOfOrganisation[Claim.Organisation];
  orderOf(Claim).emplace(Claim.RetainMicros, Hash);
}

// Claims of UUIDv7 keys may be removed early, because the key horizon then
// refuses these keys. Claims of opaque keys must be retained.
bool claim_table::makeRoom(uint32_t Organisation, bool TimedKey) {
  if (ClaimsOfOrganisation[Organisation] >= max_claims_per_organisation)
    return false;
  if (!TimedKey && OpaqueOrder.size() >= max_opaque_claims)
    return false;
  if (Claims.size() < max_claims)
    return true;
  if (TimedOrder.empty())
    return false;
  int64_t Horizon = TimedOrder.begin()->first + 1;
  if (Horizon > TimeMicros - toMicros(min_claim_window))
    return false;
  KeyHorizon = std::max(KeyHorizon, Horizon);
  forgetBefore(TimedOrder, KeyHorizon);
  return true;
}

void claim_table::setRetention(const claim_hash &Hash, claim &Claim,
                               bool TimedKey, int64_t RetainMicros) {
  orderOf(Claim).erase({Claim.RetainMicros, Hash});
  Claim.TimedKey = TimedKey;
  Claim.RetainMicros = std::max(Claim.RetainMicros, RetainMicros);
  orderOf(Claim).emplace(Claim.RetainMicros, Hash);
}

claim_table::retain_order &claim_table::orderOf(const claim &Claim) {
  return Claim.TimedKey ? TimedOrder : OpaqueOrder;
}

uint32_t claim_table::indexOf(const std::string &Organisation) {
  auto [Entry, Inserted] = OrganisationIndex.try_emplace(
      Organisation, static_cast<uint32_t>(Organisations.size()));
  if (Inserted) {
    Organisations.push_back(Organisation);
    ClaimsOfOrganisation.push_back(0);
  }
  return Entry->second;
}

wire::claims_state claim_table::state() const {
  wire::claims_state State;
  State.TimeMicros = TimeMicros;
  State.KeyHorizonMicros = KeyHorizon;
  State.OpaqueHorizonMicros = OpaqueHorizon;
  State.Organisations = Organisations;
  for (const auto &[Incarnation, Writer] : Writers)
    State.Writers.push_back(Writer);
  auto KeptAnswers = answersForSnapshot();
  for (const retain_order *Order : {&TimedOrder, &OpaqueOrder})
    for (const auto &[Retain, Hash] : *Order) {
      wire::kept_claim Kept = toKept(Claims.find(Hash)->second);
      Kept.KeyHash.assign(Hash.data(), Hash.size());
      if (auto Answer = KeptAnswers.find(Hash); Answer != KeptAnswers.end())
        Kept.__set_Answer(*Answer->second);
      State.Claims.push_back(std::move(Kept));
    }
  return State;
}

absl::flat_hash_map<claim_table::claim_hash, const wire::recorded_answer *>
claim_table::answersForSnapshot() const {
  absl::flat_hash_map<claim_hash, const wire::recorded_answer *> Newest;
  size_t Bytes = 0;
  for (auto It = AnswerOrder.rbegin(); It != AnswerOrder.rend(); ++It) {
    const wire::recorded_answer &Answer =
        Answers.find(It->second)->second.Answer;
    Bytes += recordedBytes(Answer);
    if (Bytes > max_snapshot_answer_bytes)
      break;
    Newest[It->second] = &Answer;
  }
  return Newest;
}

bool claim_table::load(const wire::kept_claim &Kept) {
  auto Hash = hashOf(Kept.KeyHash);
  bool Consistent =
      Hash && Kept.Organisation >= 0 &&
      static_cast<size_t>(Kept.Organisation) < Organisations.size();
  if (!Consistent)
    return false;
  auto [Entry, IsNew] = Claims.try_emplace(*Hash, fromKept(Kept));
  if (!IsNew)
    return false;
  addToIndexes(*Hash, Entry->second);
  if (Kept.__isset.Answer)
    storeAnswer(*Hash, Kept.Answer);
  return true;
}

bool claim_table::restore(log_offset Covers, const wire::claims_state &Snapshot,
                          effect_list &Effects) {
  if (Covers <= Applied || Snapshot.Claims.size() > max_claims ||
      Snapshot.Writers.size() > max_claim_writers)
    return false;
  claim_table Restored;
  for (const std::string &Organisation : Snapshot.Organisations)
    Restored.indexOf(Organisation);
  for (const wire::kept_claim &Kept : Snapshot.Claims)
    if (!Restored.load(Kept))
      return false;
  for (const wire::writer_state &Writer : Snapshot.Writers)
    Restored.Writers[Writer.Incarnation] = Writer;
  Restored.TimeMicros = Snapshot.TimeMicros;
  Restored.KeyHorizon = Snapshot.KeyHorizonMicros;
  Restored.OpaqueHorizon = Snapshot.OpaqueHorizonMicros;
  Restored.Applied = Covers;
  if (!invariantHolds(Effects, Covers > Applied, "offset-only-grows",
                      "claims snapshot"))
    return false;
  *this = std::move(Restored);
  return true;
}

} // namespace monsoonreel
