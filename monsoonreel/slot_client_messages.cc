// The part of `slot_client` that sends and receives messages.

#include <algorithm>
#include <utility>

#include "monsoonreel/mechanism.h"
#include "monsoonreel/slot_client.h"

namespace monsoonreel {

void slot_client::sendTo(const slot_peer &To, const wire::peer_message &Message,
                         client_step &Step) {
  if (To.Name == Self.Name)
    handleAsOwner(To, Message, Step);
  else
    Step.Effects.push_back(send_message{To.Name, To.Address, Message});
}

void slot_client::deliver(const slot_reply_list &Replies, client_step &Step) {
  for (const slot_reply &Reply : Replies) {
    if (Reply.To.Name == Self.Name)
      handleAsAsker(Reply.To, Reply.Message, Step);
    else
      Step.Effects.push_back(
          send_message{Reply.To.Name, Reply.To.Address, Reply.Message});
  }
}

bool slot_client::handleAsOwner(const slot_peer &From,
                                const wire::peer_message &Message,
                                client_step &Step) {
  slot_reply_list Replies;
  if (const auto *Ask = std::get_if<wire::slot_ask>(&Message))
    Owner.onAsk(From, *Ask, Step.Now, Replies, Step.Effects);
  else if (const auto *Cancel = std::get_if<wire::slot_cancel>(&Message))
    Owner.onCancel(From, *Cancel, Step.Now, Replies, Step.Effects);
  else if (const auto *Release = std::get_if<wire::slot_release>(&Message))
    Owner.onRelease(*Release, Step.Now, Replies, Step.Effects);
  else if (const auto *Renew = std::get_if<wire::slot_renew>(&Message))
    Owner.onRenew(*Renew, Step.Now);
  else
    return false;
  deliver(Replies, Step);
  return true;
}

bool slot_client::handleAsAsker(const slot_peer &From,
                                const wire::peer_message &Message,
                                client_step &Step) {
  if (const auto *Grant = std::get_if<wire::slot_grant>(&Message))
    onGrant(From, *Grant, Step);
  else if (const auto *Refuse = std::get_if<wire::slot_refuse>(&Message))
    onRefuse(*Refuse, Step);
  else if (const auto *Queued = std::get_if<wire::slot_queued>(&Message))
    onQueued(*Queued, Step);
  else if (const auto *Preempt = std::get_if<wire::slot_preempt>(&Message))
    onPreempt(From, *Preempt, Step);
  else
    return false;
  return true;
}

bool slot_client::onMessage(const node_name &From, const address &FromAddress,
                            const wire::peer_message &Message, steady_time Now,
                            effect_list &Effects, slot_outcome_list &Outcomes) {
  client_step Step{Now, Effects, Outcomes};
  auto Known = Peers.find(From);
  slot_peer Sender = Known != Peers.end()
                         ? Known->second
                         : slot_peer{From, FromAddress, zone_name()};
  return handleAsOwner(Sender, Message, Step) ||
         handleAsAsker(Sender, Message, Step);
}

void slot_client::onGrant(const slot_peer &From, const wire::slot_grant &Grant,
                          client_step &Step) {
  std::optional<pending_ask> Ask = takeAsk(Grant.Ask);
  if (Ask) {
    request_id Request = Ask->Request.Request;
    Held[Request] = {Grant.Slot, Grant.OwnerIncarnation, From};
    Step.Outcomes.emplace_back(
        slot_granted{Request, upstream_name(Grant.Upstream), Grant.Priority,
                     Grant.FreshConnection});
    return;
  }
  if (!isEnabled(mechanism::StaleGrantRelease))
    return;
  // A repeated grant of a slot that is already held is ignored.
  for (const auto &[Request, Slot] : Held)
    if (Slot.Slot == Grant.Slot && Slot.Owner.Name == From.Name &&
        Slot.OwnerIncarnation == Grant.OwnerIncarnation)
      return;
  wire::slot_release Release;
  Release.Slot = Grant.Slot;
  Release.OwnerIncarnation = Grant.OwnerIncarnation;
  Release.Result = wire::slot_result::NeverSent;
  sendTo(From, Release, Step);
}

void slot_client::onRefuse(const wire::slot_refuse &Refuse, client_step &Step) {
  std::optional<pending_ask> Ask = takeAsk(Refuse.Ask);
  if (!Ask)
    return;
  Ask->Refusal = {Ask->Request.Request, Refuse.Reason,
                  fromMicros(Refuse.RetryAfterMicros)};
  switch (Refuse.Reason) {
  case wire::refusal_reason::NotOwner:
  case wire::refusal_reason::ShuttingDown:
    Ask->TriedOwners.push_back(Ask->Owner.Name);
    break;
  case wire::refusal_reason::NoUpstream:
    // The owner may have another configuration or may not know the short names.
    if (Ask->NamesInFull)
      Ask->ExcludedCells.push_back(Ask->Cell);
    Ask->NamesInFull = true;
    break;
  case wire::refusal_reason::QueueFull:
  case wire::refusal_reason::TargetUnreachable: {
    // Another cell is only asked when its load shows free slots.
    Ask->ExcludedCells.push_back(Ask->Cell);
    const cell *Other =
        chooseCell(*Ask, static_cast<uint64_t>(Refuse.Ask), Step.Now);
    if (Other && hasReportedFreeSlots(*Other, Step.Now))
      break;
    Step.Outcomes.emplace_back(Ask->Refusal);
    return;
  }
  case wire::refusal_reason::OrganisationLimit:
  case wire::refusal_reason::DeadlinePassed:
    Step.Outcomes.emplace_back(Ask->Refusal);
    return;
  }
  uint64_t Spread = static_cast<uint64_t>(Refuse.Ask) * 0x9E3779B97F4A7C15U;
  sendNextAsk(std::move(*Ask), Spread, Step);
}

void slot_client::onQueued(const wire::slot_queued &Queued, client_step &Step) {
  auto Found = Asks.find(Queued.Ask);
  if (Found == Asks.end())
    return;
  Found->second.Queued = true;
  Found->second.SentAt = Step.Now;
}

void slot_client::onPreempt(const slot_peer &From,
                            const wire::slot_preempt &Preempt,
                            client_step &Step) {
  for (const auto &[Request, Slot] : Held)
    if (Slot.Slot == Preempt.Slot && Slot.Owner.Name == From.Name) {
      Step.Outcomes.emplace_back(slot_preempted{Request});
      return;
    }
}

} // namespace monsoonreel
