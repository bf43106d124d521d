#include "monsoonreel/usage_holder.h"

#include <utility>

namespace monsoonreel {

usage_holder::usage_holder(incarnation Self) : Self(Self) {}

bool usage_holder::onMessage(const peer_message_received &Received,
                             effect_list &Effects) {
  if (const auto *Hold = std::get_if<wire::usage_hold>(&Received.Message))
    return onHold(Received, *Hold, Effects);
  if (const auto *Release =
          std::get_if<wire::usage_release>(&Received.Message)) {
    release(incarnation{Release->Incarnation}, Release->UpToSequence);
    return true;
  }
  if (const auto *Accepted =
          std::get_if<wire::usage_accepted>(&Received.Message))
    return Orphans.remove(incarnation{Accepted->Incarnation},
                          Accepted->Sequence);
  return false;
}

bool usage_holder::onHold(const peer_message_received &Received,
                          const wire::usage_hold &Hold, effect_list &Effects) {
  const wire::usage_batch &Batch = Hold.Batch;
  size_t Size = Batch.Increments.size();
  if (HeldIncrements + Orphans.incrementCount() + Size > max_held_increments)
    return true;
  auto &OfSource = HeldBatches[incarnation{Batch.Incarnation}];
  if (OfSource.emplace(Batch.Sequence, Batch).second)
    HeldIncrements += Size;
  wire::usage_held Held;
  Held.Incarnation = Batch.Incarnation;
  Held.Sequence = Batch.Sequence;
  Held.Holder = Self.Value;
  Effects.push_back(send_message{Received.From, Received.FromAddress,
                                 wire::peer_message(Held)});
  return true;
}

void usage_holder::release(incarnation Source, int64_t UpTo) {
  auto Found = HeldBatches.find(Source);
  if (Found == HeldBatches.end())
    return;
  auto &OfSource = Found->second;
  while (!OfSource.empty() && OfSource.begin()->first <= UpTo) {
    HeldIncrements -= OfSource.begin()->second.Increments.size();
    OfSource.erase(OfSource.begin());
  }
  if (OfSource.empty())
    HeldBatches.erase(Found);
}

std::vector<incarnation> usage_holder::sources() const {
  std::vector<incarnation> Sources;
  for (const auto &[Source, Batches] : HeldBatches)
    Sources.push_back(Source);
  return Sources;
}

void usage_holder::onSourceDead(incarnation Source) {
  auto Found = HeldBatches.find(Source);
  if (Found == HeldBatches.end())
    return;
  for (auto &[Sequence, Batch] : Found->second) {
    HeldIncrements -= Batch.Increments.size();
    Orphans.add(std::move(Batch));
  }
  HeldBatches.erase(Found);
}

void usage_holder::onTick(steady_time Now, uint64_t Random,
                          const std::vector<wire::member> &Stewards,
                          effect_list &Effects) {
  Orphans.onTick(Now, Random, Stewards, Effects);
}

} // namespace monsoonreel
