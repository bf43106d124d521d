// Conversion of the ledger's state to and from snapshots.

#include "monsoonreel/invariant.h"
#include "monsoonreel/ledger.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

wire::key_state toState(const key_record &Key, bool Withdrawn,
                        log_offset Offset) {
  wire::key_state State;
  State.KeyId = Key.Id.Value;
  State.Organisation = Key.Organisation.Value;
  State.KeyHash = Key.Hash.Value;
  State.Withdrawn = Withdrawn;
  State.Offset = Offset.Value;
  return State;
}

} // namespace

wire::ledger_state ledger::state() const {
  wire::ledger_state State;
  State.ConfigOffset = ConfigOffset.Value;
  State.Document = Document;
  for (const auto &[Id, Entry] : Keys)
    State.Keys.push_back(toState(Entry.Key, Entry.Withdrawn, Entry.Offset));
  for (const auto &[Name, Lease] : Leases)
    State.Leases.push_back(Lease);
  for (const auto &[Incarnation, Writer] : Writers)
    State.Writers.push_back(Writer);
  for (const auto &[Incarnation, Source] : UsageSources)
    State.UsageSources.push_back(Source);
  State.OpenUsage = openUsage();
  State.Windows = Windows;
  for (const auto &[Id, Order] : Orders)
    State.Orders.push_back(Order);
  State.LastClosedWindow = LastClosedWindow;
  State.LastSnapshot = LastSnapshot.Value;
  return State;
}

bool ledger::restore(log_offset Covers, const wire::ledger_state &Snapshot,
                     effect_list &Effects) {
  if (Covers <= Applied && isEnabled(mechanism::OffsetOnlyGrows))
    return false;
  ledger Restored(Stream);
  if (!Restored.load(Snapshot))
    return false;
  if (!invariantHolds(Effects,
                      Covers > Applied && Restored.ConfigOffset >= ConfigOffset,
                      "ledger-offset-only-grows",
                      Stream + " " + std::to_string(Covers.Value)))
    return false;
  Restored.Applied = Covers;
  *this = std::move(Restored);
  return true;
}

bool ledger::load(const wire::ledger_state &Snapshot) {
  if (Snapshot.ConfigOffset != 0) {
    auto Parsed = parseConfiguration(Snapshot.Document, "snapshot");
    if (!Parsed)
      return false;
    Config = std::move(*Parsed);
  }
  ConfigOffset = log_offset{Snapshot.ConfigOffset};
  Document = Snapshot.Document;
  if (!loadKeys(Snapshot.Keys))
    return false;
  for (const wire::lease_state &Lease : Snapshot.Leases)
    Leases[Lease.Lease] = Lease;
  for (const wire::writer_state &Writer : Snapshot.Writers)
    Writers[Writer.Incarnation] = Writer;
  for (const wire::writer_state &Source : Snapshot.UsageSources)
    UsageSources[Source.Incarnation] = Source;
  for (const wire::usage_increment &Increment : Snapshot.OpenUsage)
    OpenUsage[{Increment.Organisation, Increment.ServiceClass}] = {
        Increment.Requests, Increment.PromptTokens, Increment.OutputTokens};
  Windows = Snapshot.Windows;
  for (const wire::order_state &Order : Snapshot.Orders)
    Orders[Order.Intent.OrderId] = Order;
  LastClosedWindow = Snapshot.LastClosedWindow;
  LastSnapshot = log_offset{Snapshot.LastSnapshot};
  return true;
}

bool ledger::loadKeys(const std::vector<wire::key_state> &States) {
  for (const wire::key_state &State : States) {
    bool HashComplete = State.KeyHash.size() == key_hash_bytes;
    bool HashAbsent = State.KeyHash.empty() && State.Withdrawn;
    if (!HashComplete && !HashAbsent)
      return false;
    key_id Id(State.KeyId);
    key_entry &Entry = Keys[Id];
    Entry.Key = {Id, organisation_name(State.Organisation),
                 key_hash(State.KeyHash)};
    Entry.Withdrawn = State.Withdrawn;
    Entry.Offset = log_offset{State.Offset};
    indexKey(Entry);
  }
  return true;
}

} // namespace monsoonreel
