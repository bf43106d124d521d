#include "monsoonreel/usage_meter.h"

#include <algorithm>

#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

wire::usage_increment toIncrement(const organisation_name &Organisation,
                                  const class_name &Class,
                                  const usage_figures &Figures) {
  wire::usage_increment Increment;
  Increment.Organisation = Organisation.Value;
  Increment.ServiceClass = Class.Value;
  Increment.Requests = Figures.Requests;
  Increment.PromptTokens = Figures.PromptTokens;
  Increment.OutputTokens = Figures.OutputTokens;
  return Increment;
}

} // namespace

usage_meter::usage_meter(const node_identity &Self) : Self(Self) {}

void usage_meter::add(const organisation_name &Organisation,
                      const class_name &Class, const usage_figures &Figures) {
  usage_figures &Sum = Bucket[{Organisation, Class}];
  Sum.Requests += Figures.Requests;
  Sum.PromptTokens += Figures.PromptTokens;
  Sum.OutputTokens += Figures.OutputTokens;
}

void usage_meter::setPeers(std::vector<wire::member> NewStewards,
                           const std::vector<wire::member> &Holders) {
  Stewards = std::move(NewStewards);
  bool HolderStays = std::any_of(
      Holders.begin(), Holders.end(), [&](const wire::member &Candidate) {
        return Candidate.Incarnation == Holder.Incarnation;
      });
  if (HolderStays)
    return;
  Holder = Holders.empty() ? wire::member() : Holders.front();
  requeueHolds();
}

void usage_meter::requeueHolds() {
  std::optional<int64_t> First = Offers.firstOpen(Self.Incarnation);
  if (!First || !isEnabled(mechanism::UsageHold))
    return;
  for (int64_t Sequence = *First; Sequence <= LastSequence; ++Sequence)
    if (Offers.contains(Self.Incarnation, Sequence))
      Unheld[Sequence] = pending_hold();
}

void usage_meter::onTick(steady_time Now, uint64_t Random,
                         effect_list &Effects) {
  if (Now >= NextCut) {
    bool UnderMemoryPressure =
        Offers.incrementCount() > max_open_increments / 2;
    NextCut = Now + (UnderMemoryPressure ? memory_pressure_cut_interval
                                         : cut_interval);
    cut();
  }
  sendHolds(Now, Effects);
  sendRelease(Now, Effects);
  Offers.onTick(Now, Random, Stewards, Effects);
}

void usage_meter::flush() { cut(); }

void usage_meter::cut() {
  if (Bucket.empty() || Offers.incrementCount() >= max_open_increments)
    return;
  wire::usage_batch Batch;
  Batch.Incarnation = Self.Incarnation.Value;
  Batch.Sequence = ++LastSequence;
  auto Place = Bucket.begin();
  while (Place != Bucket.end() &&
         Batch.Increments.size() < max_increments_per_batch) {
    const auto &[Key, Figures] = *Place;
    Batch.Increments.push_back(
        toIncrement(Key.Organisation, Key.Class, Figures));
    Place = Bucket.erase(Place);
  }
  if (isEnabled(mechanism::UsageHold))
    Unheld[Batch.Sequence] = pending_hold();
  Offers.add(std::move(Batch));
}

void usage_meter::sendHolds(steady_time Now, effect_list &Effects) {
  if (Holder.Name.empty() || Unheld.empty() || !isEnabled(mechanism::UsageHold))
    return;
  // Held batches have to lie within the replay's window from the first unheld
  // batch on. If that batch is lost, batches beyond the window could never be
  // counted.
  int64_t End = Unheld.begin()->first + max_batches_ahead;
  for (auto &[Sequence, Hold] : Unheld) {
    if (Sequence >= End)
      return;
    if (Now < Hold.NextSend)
      continue;
    Hold.NextSend = Now + hold_timeout;
    wire::usage_hold Message;
    Message.Batch = *Offers.find(Self.Incarnation, Sequence);
    Message.Source = Self.Name.Value;
    Effects.push_back(send_message{node_name(Holder.Name),
                                   address(Holder.Address),
                                   wire::peer_message(std::move(Message))});
  }
}

void usage_meter::sendRelease(steady_time Now, effect_list &Effects) {
  if (Holder.Name.empty() || Now < NextRelease)
    return;
  NextRelease = Now + release_interval;
  int64_t UpTo =
      Offers.firstOpen(Self.Incarnation).value_or(LastSequence + 1) - 1;
  if (UpTo == ReleasedUpTo)
    return;
  ReleasedUpTo = UpTo;
  wire::usage_release Message;
  Message.Incarnation = Self.Incarnation.Value;
  Message.UpToSequence = UpTo;
  Effects.push_back(send_message{node_name(Holder.Name),
                                 address(Holder.Address),
                                 wire::peer_message(Message)});
}

bool usage_meter::onMessage(const peer_message_received &Received) {
  if (const auto *Held = std::get_if<wire::usage_held>(&Received.Message)) {
    if (Held->Incarnation != Self.Incarnation.Value)
      return false;
    // An answer of an earlier holder does not apply to the current one.
    if (Held->Holder == Holder.Incarnation)
      Unheld.erase(Held->Sequence);
    return true;
  }
  const auto *Accepted = std::get_if<wire::usage_accepted>(&Received.Message);
  if (!Accepted || Accepted->Incarnation != Self.Incarnation.Value)
    return false;
  Offers.remove(Self.Incarnation, Accepted->Sequence);
  Unheld.erase(Accepted->Sequence);
  return true;
}

} // namespace monsoonreel
