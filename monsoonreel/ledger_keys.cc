// Replay and lookup of the ledger's keys.

#include <cstring>

#include "monsoonreel/ledger.h"

namespace monsoonreel {

namespace {

uint64_t prefixOf(const key_hash &Hash) {
  uint64_t Prefix = 0;
  std::memcpy(&Prefix, Hash.Value.data(), sizeof(Prefix));
  return Prefix;
}

// The running time does not depend on where the first difference is.
bool equalInConstantTime(const std::string &Left, const std::string &Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned Difference = 0;
  for (size_t Place = 0; Place < Left.size(); ++Place)
    Difference |= static_cast<unsigned char>(Left[Place]) ^
                  static_cast<unsigned char>(Right[Place]);
  return Difference == 0;
}

} // namespace

const key_record *ledger::findKey(const key_hash &Hash) const {
  if (Hash.Value.size() != key_hash_bytes)
    return nullptr;
  auto [First, Last] = KeyIdByPrefix.equal_range(prefixOf(Hash));
  for (auto It = First; It != Last; ++It) {
    const key_record &Key = Keys.at(It->second).Key;
    if (equalInConstantTime(Key.Hash.Value, Hash.Value))
      return &Key;
  }
  return nullptr;
}

ledger::rejection ledger::replayGive(const wire::key_give &Give,
                                     ledger_change &Change) {
  if (Give.KeyHash.size() != key_hash_bytes)
    return "key hash does not have 32 bytes";
  if (Give.KeyId.empty() || Give.KeyId.size() > max_name_bytes ||
      Give.Organisation.empty() || Give.Organisation.size() > max_name_bytes)
    return "key id or organisation is empty or too long";
  key_id Id(Give.KeyId);
  if (Keys.contains(Id))
    return "key id was already issued or withdrawn";
  key_hash Hash(Give.KeyHash);
  if (HashesEverGiven.contains(Hash))
    return "the same key was already issued under another id";
  if (KeyIdByPrefix.size() >= max_live_keys)
    return "too many keys";
  key_record Key{Id, organisation_name(Give.Organisation), Hash};
  Keys[Id] = {std::move(Key), false, Change.Offset};
  indexKey(Keys[Id]);
  return std::nullopt;
}

ledger::rejection ledger::replayWithdraw(const wire::key_withdraw &Withdraw,
                                         ledger_change &Change) {
  if (Withdraw.KeyId.empty() || Withdraw.KeyId.size() > max_name_bytes)
    return "key id is empty or too long";
  key_id Id(Withdraw.KeyId);
  // An unknown id is stored as withdrawn, because the record that issues the
  // key may come later in the stream.
  key_entry &Entry = Keys[Id];
  if (Entry.Withdrawn)
    return "key is already withdrawn";
  Entry.Key.Id = Id;
  if (!Entry.Key.Hash.empty())
    Change.WithdrawnKeys.push_back(Entry.Key.Hash);
  unindexKey(Entry);
  Entry.Withdrawn = true;
  Entry.Offset = Change.Offset;
  Withdrawals[Change.Offset] = Id;
  forgetOldWithdrawals();
  return std::nullopt;
}

void ledger::indexKey(const key_entry &Entry) {
  if (!Entry.Key.Hash.empty())
    HashesEverGiven.insert(Entry.Key.Hash);
  if (Entry.Withdrawn)
    Withdrawals[Entry.Offset] = Entry.Key.Id;
  else
    KeyIdByPrefix.emplace(prefixOf(Entry.Key.Hash), Entry.Key.Id);
}

void ledger::unindexKey(const key_entry &Entry) {
  if (Entry.Key.Hash.empty())
    return;
  auto [First, Last] = KeyIdByPrefix.equal_range(prefixOf(Entry.Key.Hash));
  for (auto It = First; It != Last; ++It)
    if (It->second == Entry.Key.Id) {
      KeyIdByPrefix.erase(It);
      return;
    }
}

void ledger::forgetOldWithdrawals() {
  if (Withdrawals.size() <= max_withdrawn_keys)
    return;
  auto Oldest = Withdrawals.begin();
  auto Key = Keys.find(Oldest->second);
  HashesEverGiven.erase(Key->second.Key.Hash);
  Keys.erase(Key);
  Withdrawals.erase(Oldest);
}

} // namespace monsoonreel
