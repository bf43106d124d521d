#include "monsoonreel/usage_keeper.h"

#include <utility>

namespace monsoonreel {

usage_keeper::usage_keeper(incarnation Self) : Self(Self) {}

bool usage_keeper::onMessage(const peer_message_received &Received,
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

bool usage_keeper::onHold(const peer_message_received &Received,
                          const wire::usage_hold &Hold, effect_list &Effects) {
  const wire::usage_batch &Batch = Hold.Batch;
  size_t Size = Batch.Increments.size();
  if (KeptIncrements + Orphans.incrementCount() + Size > max_kept_increments)
    return true;
  auto &OfSource = Kept[incarnation{Batch.Incarnation}];
  if (OfSource.emplace(Batch.Sequence, Batch).second)
    KeptIncrements += Size;
  wire::usage_held Held;
  Held.Incarnation = Batch.Incarnation;
  Held.Sequence = Batch.Sequence;
  Held.Holder = Self.Value;
  Effects.push_back(send_message{Received.From, Received.FromAddress,
                                 wire::peer_message(Held)});
  return true;
}

void usage_keeper::release(incarnation Source, int64_t UpTo) {
  auto Found = Kept.find(Source);
  if (Found == Kept.end())
    return;
  auto &OfSource = Found->second;
  while (!OfSource.empty() && OfSource.begin()->first <= UpTo) {
    KeptIncrements -= OfSource.begin()->second.Increments.size();
    OfSource.erase(OfSource.begin());
  }
  if (OfSource.empty())
    Kept.erase(Found);
}

std::vector<incarnation> usage_keeper::sources() const {
  std::vector<incarnation> Sources;
  for (const auto &[Source, Batches] : Kept)
    Sources.push_back(Source);
  return Sources;
}

void usage_keeper::onSourceDead(incarnation Source) {
  auto Found = Kept.find(Source);
  if (Found == Kept.end())
    return;
  for (auto &[Sequence, Batch] : Found->second) {
    KeptIncrements -= Batch.Increments.size();
    Orphans.add(std::move(Batch));
  }
  Kept.erase(Found);
}

void usage_keeper::onTick(steady_time Now, uint64_t Random,
                          const std::vector<wire::member> &Stewards,
                          effect_list &Effects) {
  Orphans.onTick(Now, Random, Stewards, Effects);
}

} // namespace monsoonreel
