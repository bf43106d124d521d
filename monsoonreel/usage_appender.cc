#include "monsoonreel/usage_appender.h"

namespace monsoonreel {

namespace {

void sendAccepted(incarnation Source, int64_t Sequence, const node_name &To,
                  const address &ToAddress, effect_list &Effects) {
  wire::usage_accepted Accepted;
  Accepted.Incarnation = Source.Value;
  Accepted.Sequence = Sequence;
  Effects.push_back(send_message{To, ToAddress, wire::peer_message(Accepted)});
}

} // namespace

bool usage_appender::onMessage(const peer_message_received &Received,
                               const ledger &Usage, effect_list &Effects) {
  const auto *Offer = std::get_if<wire::usage_offer>(&Received.Message);
  if (!Offer)
    return false;
  batch_key Key{incarnation{Offer->Batch.Incarnation}, Offer->Batch.Sequence};
  if (Usage.hasCounted(Key.first, Key.second)) {
    sendAccepted(Key.first, Key.second, Received.From, Received.FromAddress,
                 Effects);
    return true;
  }
  bool Full = Waiting.size() >= max_waiting_batches;
  if (Full && !Waiting.contains(Key))
    return true;
  waiting_batch &Batch = Waiting[Key];
  Batch.Batch = Offer->Batch;
  Batch.From = Received.From;
  Batch.FromAddress = Received.FromAddress;
  return true;
}

void usage_appender::onTick(steady_time Now, record_writer &Writer) {
  if (Pending && Writer.isQueued(*Pending))
    return;
  if (Pending)
    dropAppended();
  Pending.reset();
  if (Waiting.empty() || Now < NextAppend)
    return;
  NextAppend = Now + usage_append_interval;
  wire::usage_append Append;
  size_t Increments = 0;
  for (auto &[Key, Batch] : Waiting) {
    Increments += Batch.Batch.Increments.size();
    if (Append.Batches.size() >= max_batches_per_append ||
        Increments > max_increments_per_append)
      break;
    Append.Batches.push_back(Batch.Batch);
    Batch.Appended = true;
  }
  wire::log_record Record;
  Record.__set_UsageAppend(Append);
  Pending = Writer.enqueue(std::move(Record));
  if (!Pending)
    for (auto &[Key, Batch] : Waiting)
      Batch.Appended = false;
}

void usage_appender::dropAppended() {
  absl::erase_if(Waiting,
                 [](const auto &Item) { return Item.second.Appended; });
}

void usage_appender::onUsageChanged(const ledger &Usage, effect_list &Effects) {
  for (auto Place = Waiting.begin(); Place != Waiting.end();) {
    const auto &[Key, Batch] = *Place;
    if (!Usage.hasCounted(Key.first, Key.second)) {
      ++Place;
      continue;
    }
    sendAccepted(Key.first, Key.second, Batch.From, Batch.FromAddress, Effects);
    Place = Waiting.erase(Place);
  }
}

} // namespace monsoonreel
