#include "monsoonreel/usage_offers.h"

#include "monsoonreel/log_follower.h"

namespace monsoonreel {

namespace {

// Maximum number of batches offered in one tick, so that the end of an outage
// doesn't cause a burst.
constexpr int max_offers_per_tick = 16;

} // namespace

void usage_offers::add(wire::usage_batch Batch) {
  size_t Size = Batch.Increments.size();
  batch_key Key{incarnation{Batch.Incarnation}, Batch.Sequence};
  open_batch Open;
  Open.Batch = std::move(Batch);
  if (Batches.emplace(Key, std::move(Open)).second)
    Increments += Size;
}

usage_offers::batch_map::iterator
usage_offers::erase(batch_map::iterator Place) {
  Increments -= Place->second.Batch.Increments.size();
  return Batches.erase(Place);
}

bool usage_offers::remove(incarnation Source, int64_t Sequence) {
  auto Found = Batches.find({Source, Sequence});
  if (Found == Batches.end())
    return false;
  erase(Found);
  return true;
}

bool usage_offers::contains(incarnation Source, int64_t Sequence) const {
  return Batches.contains({Source, Sequence});
}

const wire::usage_batch *usage_offers::find(incarnation Source,
                                            int64_t Sequence) const {
  auto Found = Batches.find({Source, Sequence});
  return Found == Batches.end() ? nullptr : &Found->second.Batch;
}

std::optional<int64_t> usage_offers::firstOpen(incarnation Source) const {
  auto Place = Batches.lower_bound({Source, 0});
  if (Place == Batches.end() || Place->first.first != Source)
    return std::nullopt;
  return Place->first.second;
}

void usage_offers::onTick(steady_time Now, uint64_t Random,
                          const std::vector<wire::member> &Stewards,
                          effect_list &Effects) {
  if (Stewards.empty())
    return;
  int Sent = 0;
  std::optional<batch_key> First;
  for (auto &[Key, Open] : Batches) {
    if (!First || First->first != Key.first)
      First = Key;
    if (Key.second >= First->second + max_batches_ahead || Now < Open.NextOffer)
      continue;
    const wire::member &Steward = Stewards[Open.Tries++ % Stewards.size()];
    Open.NextOffer =
        Now + backoffAfter(1, offer_timeout, offer_timeout, Random);
    wire::usage_offer Offer;
    Offer.Batch = Open.Batch;
    Effects.push_back(send_message{node_name(Steward.Name),
                                   address(Steward.Address),
                                   wire::peer_message(std::move(Offer))});
    if (++Sent == max_offers_per_tick)
      return;
  }
}

} // namespace monsoonreel
