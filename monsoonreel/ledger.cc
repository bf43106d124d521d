#include "monsoonreel/ledger.h"

#include <algorithm>

#include "monsoonreel/document_difference.h"
#include "monsoonreel/invariant.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

const char *verdictLabel(record_verdict Verdict) {
  switch (Verdict) {
  case record_verdict::Valid:
    return "valid";
  case record_verdict::Void:
    return "void";
  case record_verdict::Repeated:
    return "repeated";
  case record_verdict::Malformed:
    return "malformed";
  case record_verdict::Stale:
    return "stale";
  case record_verdict::Gap:
    return "gap";
  }
  return "";
}

void countVerdict(const ledger_change &Change, const std::string &Stream,
                  effect_list &Effects) {
  Effects.push_back(count_metric{
      "monsoonreel_ledger_records_total",
      {{"stream", Stream}, {"verdict", verdictLabel(Change.Verdict)}},
      1.0});
}

void logRejection(const ledger_change &Change, const std::string &Stream,
                  effect_list &Effects) {
  Effects.push_back(log_line{
      log_level::Warning,
      "record " + std::to_string(Change.Offset.Value) + " of stream " + Stream +
          " is " + verdictLabel(Change.Verdict) + ": " + Change.Reason});
}

// The document that results from applying Edit to the document InForce. Empty
// if Edit is malformed or its difference does not apply.
std::optional<std::string> documentOf(const wire::config_edit &Edit,
                                      const std::string &InForce) {
  if (!Edit.__isset.Difference)
    return Edit.Document;
  if (!Edit.Document.empty())
    return std::nullopt;
  return applyDifference(InForce, Edit.Difference);
}

} // namespace

std::string orderLeaseName(const zone_name &Zone) {
  return "orders/" + Zone.Value;
}

ledger::ledger(std::string_view Stream) : Stream(Stream) {}

ledger_change ledger::apply(log_offset Offset, const std::string &Bytes,
                            effect_list &Effects) {
  ledger_change Change;
  Change.Offset = Offset;
  if (Offset <= Applied && isEnabled(mechanism::OffsetOnlyGrows)) {
    Change.Verdict = record_verdict::Stale;
    return Change;
  }
  if (Offset.Value > Applied.Value + 1) {
    Change.Verdict = record_verdict::Gap;
    return Change;
  }
  if (!invariantHolds(Effects, Offset > Applied, "ledger-offset-only-grows",
                      Stream + " " + std::to_string(Offset.Value)))
    return Change;
  replayBytes(Bytes, Change);
  Applied = Offset;
  countVerdict(Change, Stream, Effects);
  if (!Change.isValid() && Change.Verdict != record_verdict::Repeated)
    logRejection(Change, Stream, Effects);
  return Change;
}

void ledger::replayBytes(const std::string &Bytes, ledger_change &Change) {
  auto Decoded = decodeRecord(Bytes);
  if (!Decoded) {
    Change.Verdict = record_verdict::Malformed;
    Change.Reason = Decoded.error().Message;
    return;
  }
  Change.Record = std::move(*Decoded);
  const wire::log_record &Record = *Change.Record;
  if (isRepeated(Record)) {
    Change.Verdict = record_verdict::Repeated;
    return;
  }
  rememberWriter(Record, Change.Offset);
  rejection Rejection = replay(Record, Change);
  if (Rejection)
    Change.Reason = *Rejection;
  Change.Verdict = Rejection ? record_verdict::Void : record_verdict::Valid;
}

bool ledger::isRepeated(const wire::log_record &Record) const {
  if (!isEnabled(mechanism::WriterSequence))
    return false;
  return Record.Sequence <= writerSequence(incarnation{Record.Incarnation});
}

void ledger::rememberWriter(const wire::log_record &Record, log_offset Offset) {
  wire::writer_state &Writer = Writers[Record.Incarnation];
  Writer.Incarnation = Record.Incarnation;
  Writer.Sequence = Record.Sequence;
  Writer.LastOffset = Offset.Value;
  forgetLeastRecent(Writers, max_writers);
}

void ledger::forgetLeastRecent(writer_map &Map, size_t Bound) {
  if (Map.size() <= Bound)
    return;
  auto Oldest = std::min_element(
      Map.begin(), Map.end(), [](const auto &Left, const auto &Right) {
        return Left.second.LastOffset < Right.second.LastOffset;
      });
  Map.erase(Oldest);
}

int64_t ledger::writerSequence(incarnation Writer) const {
  auto Found = Writers.find(Writer.Value);
  return Found == Writers.end() ? 0 : Found->second.Sequence;
}

log_offset ledger::writerOffset(incarnation Writer) const {
  auto Found = Writers.find(Writer.Value);
  return log_offset{Found == Writers.end() ? 0 : Found->second.LastOffset};
}

ledger::rejection ledger::replay(const wire::log_record &Record,
                                 ledger_change &Change) {
  const auto &Has = Record.__isset;
  int Parts = Has.ConfigEdit + Has.KeyGive + Has.KeyWithdraw + Has.LeaseClaim +
              Has.UsageAppend + Has.UsageClose + Has.UsageReported +
              Has.OrderIntent + Has.OrderDone + Has.Snapshot;
  if (Parts != 1)
    return "holds " + std::to_string(Parts) +
           " known parts, expected exactly one";
  if (Has.ConfigEdit)
    return replayEdit(Record.ConfigEdit, Change);
  if (Has.KeyGive)
    return replayGive(Record.KeyGive, Change);
  if (Has.KeyWithdraw)
    return replayWithdraw(Record.KeyWithdraw, Change);
  if (Has.LeaseClaim)
    return replayClaim(Record.LeaseClaim, Change);
  if (Has.UsageAppend)
    return replayUsage(Record.UsageAppend, Change);
  if (Has.UsageClose)
    return replayClose(Record.UsageClose, Change);
  if (Has.UsageReported)
    return replayReported(Record.UsageReported);
  if (Has.OrderIntent)
    return replayIntent(Record.OrderIntent, Change);
  if (Has.OrderDone)
    return replayDone(Record.OrderDone, Change);
  return replaySnapshot(Record.Snapshot, Change);
}

ledger::rejection ledger::replayEdit(const wire::config_edit &Edit,
                                     ledger_change &Change) {
  if (Edit.Base != ConfigOffset.Value && isEnabled(mechanism::VersionCheck))
    return "edits version " + std::to_string(Edit.Base) + ", but version " +
           std::to_string(ConfigOffset.Value) + " is in force";
  std::optional<std::string> Edited = documentOf(Edit, Document);
  if (!Edited)
    return "difference does not produce the document whose hash it carries";
  auto Parsed = parseConfiguration(*Edited, "configuration");
  if (!Parsed)
    return "document is not valid: " + Parsed.error().toString();
  Config = std::move(*Parsed);
  Document = std::move(*Edited);
  ConfigOffset = Change.Offset;
  Change.ConfigurationChanged = true;
  return std::nullopt;
}

ledger::rejection ledger::replayClaim(const wire::lease_claim &Claim,
                                      ledger_change &Change) {
  if (Claim.Lease.empty() || Claim.Lease.size() > max_name_bytes ||
      Claim.Holder.size() > max_name_bytes)
    return "lease or holder name is empty or too long";
  if (Claim.DurationMicros <= 0 ||
      fromMicros(Claim.DurationMicros) > max_lease_duration)
    return "lease duration is out of range";
  const wire::lease_state *Current = findLease(Claim.Lease);
  int64_t Fence = Current ? Current->Fence : 0;
  if (Claim.Previous != Fence && isEnabled(mechanism::Fencing))
    return "follows claim " + std::to_string(Claim.Previous) + ", but claim " +
           std::to_string(Fence) + " is current";
  if (!Current && Leases.size() >= max_leases)
    return "too many leases";
  bool IsHolder = Current && Current->Incarnation == Claim.Incarnation;
  if (Claim.Released && !IsHolder)
    return "lease is released by a node that does not hold it";
  wire::lease_state &State = Leases[Claim.Lease];
  State.Lease = Claim.Lease;
  State.Fence = Change.Offset.Value;
  State.Holder = Claim.Holder;
  State.Incarnation = Claim.Incarnation;
  State.DurationMicros = Claim.DurationMicros;
  State.Released = Claim.Released;
  Change.Lease = State;
  return std::nullopt;
}

const wire::lease_state *ledger::findLease(std::string_view Lease) const {
  auto Found = Leases.find(Lease);
  return Found == Leases.end() ? nullptr : &Found->second;
}

bool ledger::isCurrentFence(std::string_view Lease, int64_t Fence) const {
  if (!isEnabled(mechanism::Fencing))
    return true;
  const wire::lease_state *Current = findLease(Lease);
  return Current && !Current->Released && Current->Fence == Fence;
}

ledger::rejection ledger::replayIntent(const wire::order_intent &Intent,
                                       ledger_change &Change) {
  if (Intent.OrderId.empty() || Intent.OrderId.size() > max_name_bytes ||
      Intent.Zone.size() > max_name_bytes ||
      Intent.Target.size() > max_name_bytes)
    return "order id is empty, or a name is too long";
  if (!isCurrentFence(orderLeaseName(zone_name(Intent.Zone)), Intent.Fence))
    return "order intent under lease claim " + std::to_string(Intent.Fence) +
           ", which is not current";
  if (Orders.contains(Intent.OrderId))
    return "order id is in use";
  if (Orders.size() >= max_open_orders)
    return "too many open orders";
  wire::order_state &Order = Orders[Intent.OrderId];
  Order.Intent = Intent;
  Order.Offset = Change.Offset.Value;
  Change.OrdersChanged = true;
  return std::nullopt;
}

ledger::rejection ledger::replayDone(const wire::order_done &Done,
                                     ledger_change &Change) {
  if (Orders.erase(Done.OrderId) == 0)
    return "order is not open";
  Change.OrdersChanged = true;
  return std::nullopt;
}

ledger::rejection ledger::replaySnapshot(const wire::snapshot &Snapshot,
                                         ledger_change &Change) {
  if (Snapshot.CoversOffset >= Change.Offset.Value)
    return "snapshot covers records after itself";
  LastSnapshot = Change.Offset;
  return std::nullopt;
}

} // namespace monsoonreel
